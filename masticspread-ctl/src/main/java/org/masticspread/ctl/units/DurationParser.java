package org.masticspread.ctl.units;

import java.time.Duration;
import java.time.format.DateTimeParseException;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses durations such as {@code 250ms}, {@code 2s}, {@code 10m}, {@code 12h}, 3d or PT2S. */
public final class DurationParser {
  /** The allowed texts, in words. */
  public static final String RULE = "a time such as 250ms, 2s, 10m, 12h, 3d or PT2S";

  private static final Pattern TEXT = Pattern.compile("([0-9]{1,9})(ms|s|m|h|d)");

  private DurationParser() {}

  /**
   * Parses a duration.
   *
   * @param text the text
   * @return the duration
   * @throws IllegalArgumentException if the text does not satisfy {@link #RULE}
   */
  public static Duration parse(String text) {
    Matcher matcher = TEXT.matcher(text);
    if (!matcher.matches()) {
      return parseIso(text);
    }
    long amount = Long.parseLong(matcher.group(1));
    return switch (matcher.group(2)) {
      case "ms" -> Duration.ofMillis(amount);
      case "s" -> Duration.ofSeconds(amount);
      case "m" -> Duration.ofMinutes(amount);
      case "h" -> Duration.ofHours(amount);
      default -> Duration.ofDays(amount);
    };
  }

  private static Duration parseIso(String text) {
    try {
      return Duration.parse(text);
    } catch (DateTimeParseException e) {
      throw new IllegalArgumentException("'" + text + "' is not allowed; allowed: " + RULE, e);
    }
  }
}
