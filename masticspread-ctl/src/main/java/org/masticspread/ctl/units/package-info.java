/** Sizes and times as people write them in flags and answers. */
package org.masticspread.ctl.units;
