/** Measures of placement: packing efficiency and decision times. */
package org.masticspread.ctl.measure.placement;
