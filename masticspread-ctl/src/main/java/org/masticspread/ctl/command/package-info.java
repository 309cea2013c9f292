/** The parts shared by all commands: flags, exit codes and error messages. */
package org.masticspread.ctl.command;
