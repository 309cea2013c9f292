/** The command that asks the questions of the questionnaire. */
package org.masticspread.ctl.command.questionnaire;
