/** Measures of whole cells in virtual time: recovery, configuration and control overhead. */
package org.masticspread.ctl.measure.cell;
