package org.masticspread.ctl.questionnaire;

/**
 * An answer that can't be met.
 *
 * @param field the field of the answer, such as {@code work[0].answerWithin}
 * @param message why it can't be met and what would help
 */
public record Conflict(String field, String message) {}
