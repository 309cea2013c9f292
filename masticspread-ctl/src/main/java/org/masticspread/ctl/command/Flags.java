package org.masticspread.ctl.command;

import java.time.Duration;
import java.util.function.Function;
import org.masticspread.model.id.Names;

/** Validates the values of flags; errors name the flag, the value and the allowed values. */
public final class Flags {
  private Flags() {}

  /**
   * Returns the value of a required flag.
   *
   * @param flag the flag
   * @param value the value; null if it is missing
   * @param allowed the allowed values, in words
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
   * @param value the value; null if it is missing, which is allowed
   * @param min the minimum, inclusive
   * @param max the maximum, inclusive
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
   * Checks the range of a duration.
   *
   * @param flag the flag
   * @param value the value; null if it is missing, which is allowed
   * @param min the minimum, inclusive
   * @param max the maximum, inclusive
   * @throws UsageException if it is out of range
   */
  public static void requireBetween(String flag, Duration value, Duration min, Duration max)
      throws UsageException {
    if (value != null && (value.compareTo(min) < 0 || value.compareTo(max) > 0)) {
      throw new UsageException(flag, value.toString(), "from " + min + " to " + max);
    }
  }

  /**
   * Splits a name that has two parts, such as {@code TEAM/JOB}.
   *
   * @param label the label of the parameter in the usage text
   * @param text the text
   * @return the two parts, each a valid name
   * @throws UsageException if the text does not have two valid parts
   */
  public static String[] splitName(String label, String text) throws UsageException {
    String[] parts = text.split("/", -1);
    if (parts.length != 2 || !Names.isValid(parts[0]) || !Names.isValid(parts[1])) {
      throw new UsageException(label, text, "two names with '/' between; a name has " + Names.RULE);
    }
    return parts;
  }

  /**
   * Returns the value of a flag, or a default if it is missing.
   *
   * @param value the value; null if the flag is missing
   * @param defaultValue the default
   * @param <T> the type of the value
   * @return the value
   */
  public static <T> T orDefault(T value, T defaultValue) {
    return value == null ? defaultValue : value;
  }

  /**
   * Parses a name.
   *
   * @param label the label of the parameter in the usage text
   * @param text the text
   * @param parse creates the identifier from the text
   * @param <T> the type of the identifier
   * @return the identifier
   * @throws UsageException if the text is not a valid name
   */
  public static <T> T parseName(String label, String text, Function<String, T> parse)
      throws UsageException {
    if (!Names.isValid(text)) {
      throw new UsageException(label, text, Names.RULE);
    }
    return parse.apply(text);
  }
}
