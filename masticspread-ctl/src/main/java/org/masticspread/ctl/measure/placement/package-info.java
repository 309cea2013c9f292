/** Measures of placement: packing, and the time that decisions take. */
package org.masticspread.ctl.measure.placement;
