/** Measures of how costs grow with size, on one machine, with lines fitted to the values. */
package org.masticspread.ctl.measure.slopes;
