/** Commands that measure scheduling decisions on a virtual clock, and their common report. */
package org.masticspread.ctl.measure;
