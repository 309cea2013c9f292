/**
 * The questionnaire: questions about a team's work, and the generator of a configuration from the
 * answers.
 */
package org.masticspread.ctl.questionnaire;
