/** Measures of whole cells on virtual time: recovery, configuration and the cost of control. */
package org.masticspread.ctl.measure.cell;
