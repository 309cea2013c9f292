package org.masticspread.ctl.questionnaire;

import java.math.BigDecimal;
import java.time.Duration;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.masticspread.ctl.units.DurationParser;
import org.masticspread.ctl.units.MemorySize;
import org.masticspread.model.id.Names;

/**
 * A rule that parses and validates the text of an answer.
 *
 * @param allowed the allowed answers, in words
 * @param parse parses the text; throws IllegalArgumentException or returns null if it is invalid
 * @param <T> the type of the answer
 */
record Rule<T>(String allowed, Function<String, T> parse) {
  private static final Pattern RATE = Pattern.compile("([0-9]{1,9}(?:\\.[0-9]{1,6})?)/([smhd])");
  private static final Pattern PERCENT = Pattern.compile("([0-9]{1,3}(?:\\.[0-9]{1,3})?) ?%?");
  private static final Pattern DECIMAL = Pattern.compile("[0-9]{1,6}(\\.[0-9]{1,3})?");
  private static final Pattern WHOLE = Pattern.compile("[0-9]{1,9}");
  private static final double MAX_RATE_PER_SECOND = 1_000_000;
  private static final int MAX_CORES = 100_000;
  private static final int MILLICORES_PER_CORE = 1000;
  private static final double PERCENT_OF_ONE = 100;
  private static final Map<String, Duration> RATE_UNITS =
      Map.of(
          "s", Duration.ofSeconds(1),
          "m", Duration.ofMinutes(1),
          "h", Duration.ofHours(1),
          "d", Duration.ofDays(1));

  static final Rule<Boolean> YES_NO =
      new Rule<>(
          "yes or no",
          choice(Map.of("yes", true, "true", true, "no", false, "false", false)).parse());
  static final Rule<Double> RATE_PER_SECOND =
      new Rule<>("a number with its unit, such as 20/s, 30/m, 40/h or 500/d", Rule::rate);
  static final Rule<Double> PART = new Rule<>("a percentage from 0 to 100", Rule::part);
  static final Rule<Long> MILLICORES =
      new Rule<>("a number of cores such as 0.5 or 4, more than 0", Rule::millicores);
  static final Rule<MemorySize> MEMORY =
      new Rule<>(MemorySize.RULE + ", more than 0", text -> positive(MemorySize.parse(text)));

  /**
   * Parses an answer.
   *
   * @throws IllegalArgumentException if it is invalid; the message gives the value and the allowed
   *     answers
   */
  T read(String text) {
    T value = null;
    try {
      value = parse.apply(text);
    } catch (IllegalArgumentException e) {
      throw new IllegalArgumentException(rejection(text), e);
    }
    if (value == null) {
      throw new IllegalArgumentException(rejection(text));
    }
    return value;
  }

  private String rejection(String text) {
    return text.isEmpty()
        ? "no answer; allowed: " + allowed
        : "'" + text + "' is not allowed; allowed: " + allowed;
  }

  /** Returns this rule with an additional condition, described by the given words. */
  Rule<T> and(Predicate<T> condition, String words) {
    return new Rule<>(
        allowed + ", " + words,
        text -> {
          T value = parse.apply(text);
          return value != null && condition.test(value) ? value : null;
        });
  }

  static <T> Rule<T> name(Function<String, T> make) {
    return new Rule<>(Names.RULE, make);
  }

  static <T> Rule<T> choice(Map<String, T> choices) {
    String words = String.join(", ", new TreeMap<>(choices).keySet());
    return new Rule<>(words, text -> choices.get(text.toLowerCase(Locale.ROOT)));
  }

  static Rule<Duration> time(Duration max) {
    return new Rule<>(
        DurationParser.RULE + ", more than 0 and at most " + DisplayFormat.time(max),
        text -> {
          Duration time = DurationParser.parse(text);
          return time.isNegative() || time.isZero() || time.compareTo(max) > 0 ? null : time;
        });
  }

  static Rule<Integer> wholeNumber(int min, int max) {
    return new Rule<>(
        "a whole number from " + min + " to " + max,
        text -> {
          if (!WHOLE.matcher(text).matches()) {
            return null;
          }
          int number = Integer.parseInt(text);
          return number < min || number > max ? null : number;
        });
  }

  private static Double rate(String text) {
    Matcher matcher = RATE.matcher(text);
    if (!matcher.matches()) {
      return null;
    }
    double seconds = RATE_UNITS.get(matcher.group(2)).toSeconds();
    double rate = Double.parseDouble(matcher.group(1)) / seconds;
    return rate > 0 && rate <= MAX_RATE_PER_SECOND ? rate : null;
  }

  private static Double part(String text) {
    Matcher matcher = PERCENT.matcher(text);
    if (!matcher.matches()) {
      return null;
    }
    double percent = Double.parseDouble(matcher.group(1));
    return percent <= PERCENT_OF_ONE ? percent / PERCENT_OF_ONE : null;
  }

  private static Long millicores(String text) {
    if (!DECIMAL.matcher(text).matches()) {
      return null;
    }
    BigDecimal cores = new BigDecimal(text);
    long millicores = cores.multiply(BigDecimal.valueOf(MILLICORES_PER_CORE)).longValueExact();
    return millicores > 0 && cores.intValue() <= MAX_CORES ? millicores : null;
  }

  private static MemorySize positive(MemorySize size) {
    return size.bytes() > 0 ? size : null;
  }
}
