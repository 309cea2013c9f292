/** What all commands share: flags, exit codes, error messages. */
package org.masticspread.ctl.command;
