package org.masticspread.ctl.questionnaire;

import java.math.BigDecimal;
import java.math.MathContext;
import java.math.RoundingMode;
import java.time.Duration;

/** Formats durations, numbers, percentages and rates for human readers. */
final class DisplayFormat {
  private static final int DIGITS = 3;
  private static final double PERCENT_OF_ONE = 100;

  private DisplayFormat() {}

  static String time(Duration time) {
    if (time.toNanosPart() != 0) {
      return number(time.toNanos() / 1e6) + " ms";
    }
    long seconds = time.toSeconds();
    if (seconds % Duration.ofDays(1).toSeconds() == 0) {
      return time.toDays() + " d";
    }
    if (seconds % Duration.ofHours(1).toSeconds() == 0) {
      return time.toHours() + " h";
    }
    return seconds % Duration.ofMinutes(1).toSeconds() == 0
        ? time.toMinutes() + " min"
        : seconds + " s";
  }

  static String number(double number) {
    if (number == 0) {
      return "0";
    }
    return BigDecimal.valueOf(number)
        .round(new MathContext(DIGITS, RoundingMode.HALF_UP))
        .stripTrailingZeros()
        .toPlainString();
  }

  static String percent(double part) {
    return number(part * PERCENT_OF_ONE) + "%";
  }

  static String rate(double perSecond) {
    if (perSecond >= 1) {
      return number(perSecond) + " per second";
    }
    double perHour = perSecond * Duration.ofHours(1).toSeconds();
    return perHour >= 1
        ? number(perHour) + " per hour"
        : number(perSecond * Duration.ofDays(1).toSeconds()) + " per day";
  }
}
