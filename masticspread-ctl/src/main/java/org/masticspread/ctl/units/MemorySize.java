package org.masticspread.ctl.units;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A size in bytes, written such as {@code 512MiB}.
 *
 * @param bytes the size in bytes, not negative
 */
public record MemorySize(long bytes) {
  /** What is allowed, in words. */
  public static final String RULE = "a size such as 65536, 512KiB, 512MiB or 2GiB, at most 1024TiB";

  private static final long MAX_BYTES = 1L << 50;
  private static final int BITS_PER_STEP = 10;
  private static final String STEPS = "KMGT";
  private static final Pattern TEXT = Pattern.compile("([0-9]{1,16})(?:([KMGT])iB|B)?");

  /**
   * Reads a size.
   *
   * @param text the text
   * @return the size
   * @throws IllegalArgumentException if the text breaks {@link #RULE}
   */
  public static MemorySize parse(String text) {
    Matcher matcher = TEXT.matcher(text);
    if (!matcher.matches()) {
      throw new IllegalArgumentException("'" + text + "' is not allowed; allowed: " + RULE);
    }
    String unit = matcher.group(2);
    int shift = unit == null ? 0 : BITS_PER_STEP * (STEPS.indexOf(unit) + 1);
    long amount = Long.parseLong(matcher.group(1));
    if (amount > MAX_BYTES >> shift) {
      throw new IllegalArgumentException("'" + text + "' is not allowed; allowed: " + RULE);
    }
    return new MemorySize(amount << shift);
  }

  /**
   * Returns the size with the largest unit that divides it.
   *
   * @return the text
   */
  @Override
  public String toString() {
    int step = 0;
    long amount = bytes;
    while (step < STEPS.length() && amount > 0 && amount % (1 << BITS_PER_STEP) == 0) {
      amount >>= BITS_PER_STEP;
      step++;
    }
    return amount + (step == 0 ? "B" : STEPS.charAt(step - 1) + "iB");
  }
}
