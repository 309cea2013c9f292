/** The read-only commands: status, metrics, decisions and audit trail. */
package org.masticspread.ctl.command.watch;
