/** The commands that run requests and jobs. */
package org.masticspread.ctl.command.work;
