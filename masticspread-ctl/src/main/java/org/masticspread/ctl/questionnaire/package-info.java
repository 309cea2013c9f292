/**
 * The questionnaire: plain questions about a team's work, and the configuration that follows from
 * the answers.
 */
package org.masticspread.ctl.questionnaire;
