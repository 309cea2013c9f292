/** Costs against sizes, measured on one machine and fitted by straight lines. */
package org.masticspread.ctl.measure.slopes;
