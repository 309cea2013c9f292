package org.masticspread.model.id;

import java.util.regex.Pattern;

/** Validates names of identifiers: 1 to 128 letters, digits, '.', '_', ':' and '-'. */
public final class Names {
  /** The maximum length of a name, in characters. */
  public static final int MAX_LENGTH_CHARS = 128;

  /** A description of the rule, for error messages. */
  public static final String RULE =
      "1 to 128 characters: letters, digits, '.', '_', ':', '-', starting with a letter or digit";

  private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._:-]{0,127}");

  private Names() {}

  /**
   * Returns whether a text is a valid name.
   *
   * @param text the text; may be null
   * @return whether it satisfies {@link #RULE}
   */
  public static boolean isValid(String text) {
    return text != null && NAME.matcher(text).matches();
  }

  /**
   * Returns the text if it is a valid name.
   *
   * <p>Example: {@code Names.require("team", "temple-desk")}.
   *
   * @param field the name of the field, for the error message
   * @param text the text to check
   * @return the text
   * @throws IllegalArgumentException if the text violates {@link #RULE}
   */
  public static String require(String field, String text) {
    if (!isValid(text)) {
      throw new IllegalArgumentException(field + ": '" + text + "' is not allowed: " + RULE);
    }
    return text;
  }
}
