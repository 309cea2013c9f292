package org.masticspread.ctl.units;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A memory size, with a text form such as {@code 512MiB}.
 *
 * @param bytes the size in bytes, non-negative
 */
public record MemorySize(long bytes) {
  /** The allowed texts, in words. */
  public static final String RULE = "a size such as 65536, 512KiB, 512MiB or 2GiB, at most 1024TiB";

  private static final long MAX_BYTES = 1L << 50;
  private static final int BITS_PER_PREFIX = 10;
  private static final String UNIT_PREFIXES = "KMGT";
  private static final Pattern TEXT = Pattern.compile("([0-9]{1,16})(?:([KMGT])iB|B)?");

  /**
   * Parses a size.
   *
   * @param text the text
   * @return the size
   * @throws IllegalArgumentException if the text does not satisfy {@link #RULE}
   */
  public static MemorySize parse(String text) {
    Matcher matcher = TEXT.matcher(text);
    if (!matcher.matches()) {
      throw new IllegalArgumentException("'" + text + "' is not allowed; allowed: " + RULE);
    }
    String unit = matcher.group(2);
    int shift = unit == null ? 0 : BITS_PER_PREFIX * (UNIT_PREFIXES.indexOf(unit) + 1);
    long amount = Long.parseLong(matcher.group(1));
    if (amount > MAX_BYTES >> shift) {
      throw new IllegalArgumentException("'" + text + "' is not allowed; allowed: " + RULE);
    }
    return new MemorySize(amount << shift);
  }

  /**
   * Returns the size as text, in the largest unit of which it is a whole multiple.
   *
   * @return the text
   */
  @Override
  public String toString() {
    int prefixes = 0;
    long amount = bytes;
    while (prefixes < UNIT_PREFIXES.length()
        && amount > 0
        && amount % (1 << BITS_PER_PREFIX) == 0) {
      amount >>= BITS_PER_PREFIX;
      prefixes++;
    }
    return amount + (prefixes == 0 ? "B" : UNIT_PREFIXES.charAt(prefixes - 1) + "iB");
  }
}
