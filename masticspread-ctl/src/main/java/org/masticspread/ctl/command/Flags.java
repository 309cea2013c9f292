package org.masticspread.ctl.command;

import java.time.Duration;
import java.util.function.Function;
import org.masticspread.model.id.Names;

/** Checks values of flags and names the flag, the value and what is allowed. */
public final class Flags {
  private Flags() {}

  /**
   * Returns the value of a flag that must be given.
   *
   * @param flag the flag
   * @param value the value; null when it is missing
   * @param allowed what is allowed
   * @param <T> the type of the value
   * @return the value
   * @throws UsageException if it is missing
   */
  public static <T> T require(String flag, T value, String allowed) throws UsageException {
    if (value == null) {
      throw new UsageException(flag, "", allowed);
    }
    return value;
  }

  /**
   * Checks the range of a number.
   *
   * @param flag the flag
   * @param value the value; null when it is missing, which is allowed
   * @param min the least allowed value
   * @param max the greatest allowed value
   * @throws UsageException if it is out of range
   */
  public static void requireBetween(String flag, Number value, long min, long max)
      throws UsageException {
    if (value == null) {
      return;
    }
    double number = value.doubleValue();
    if (!(number >= min && number <= max)) {
      throw new UsageException(flag, value.toString(), "from " + min + " to " + max);
    }
  }

  /**
   * Checks the range of a time.
   *
   * @param flag the flag
   * @param value the value; null when it is missing, which is allowed
   * @param min the least allowed value
   * @param max the greatest allowed value
   * @throws UsageException if it is out of range
   */
  public static void requireBetween(String flag, Duration value, Duration min, Duration max)
      throws UsageException {
    if (value != null && (value.compareTo(min) < 0 || value.compareTo(max) > 0)) {
      throw new UsageException(flag, value.toString(), "from " + min + " to " + max);
    }
  }

  /**
   * Splits a name of two parts, such as {@code TEAM/JOB}.
   *
   * @param label how the help names it
   * @param text the text
   * @return the two parts, each a valid name
   * @throws UsageException if the text does not have two valid parts
   */
  public static String[] split(String label, String text) throws UsageException {
    String[] parts = text.split("/", -1);
    if (parts.length != 2 || !Names.isValid(parts[0]) || !Names.isValid(parts[1])) {
      throw new UsageException(label, text, "two names with '/' between; a name has " + Names.RULE);
    }
    return parts;
  }

  /**
   * Returns the value of a flag, or another one when it is missing.
   *
   * @param value the value; null when the flag is missing
   * @param other the other value
   * @param <T> the type of the value
   * @return the value
   */
  public static <T> T or(T value, T other) {
    return value == null ? other : value;
  }

  /**
   * Reads a name.
   *
   * @param label how the help names it
   * @param text the text
   * @param parse makes the identifier
   * @param <T> the type of the identifier
   * @return the identifier
   * @throws UsageException if the text is not a valid name
   */
  public static <T> T name(String label, String text, Function<String, T> parse)
      throws UsageException {
    if (!Names.isValid(text)) {
      throw new UsageException(label, text, Names.RULE);
    }
    return parse.apply(text);
  }
}
