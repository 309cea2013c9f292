/** Parsers of sizes and durations as people write them in flags and questionnaire answers. */
package org.masticspread.ctl.units;
