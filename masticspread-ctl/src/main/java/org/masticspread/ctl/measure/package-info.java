/** Commands that measure the decisions on a virtual clock, and the report they share. */
package org.masticspread.ctl.measure;
