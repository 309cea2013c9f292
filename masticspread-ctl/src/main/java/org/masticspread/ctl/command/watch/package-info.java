/** The commands that only read: status, decisions and audit trail. */
package org.masticspread.ctl.command.watch;
