package org.masticspread.ctl.questionnaire;

/**
 * An answer that the cell can't satisfy.
 *
 * @param field the field of the answer, such as {@code work[0].answerWithin}
 * @param message why it can't be satisfied and what to change
 */
public record Conflict(String field, String message) {}
