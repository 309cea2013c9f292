/** Reads the structured log lines of several processes and builds the timeline of one job. */
package org.masticspread.ctl.logs;
