/** Reads the structured log lines of several processes and tells the story of one job. */
package org.masticspread.ctl.logs;
