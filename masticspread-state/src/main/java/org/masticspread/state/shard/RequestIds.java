package org.masticspread.state.shard;

import java.time.DateTimeException;
import java.time.Instant;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apache.commons.rng.UniformRandomProvider;
import org.masticspread.model.id.RequestId;

/**
 * Request ids that carry the time at which they were made, as {@code tMILLIS-RANDOM}. An id of this
 * form that is older than all memory of it is refused; callers may make such ids themselves.
 */
public final class RequestIds {
  private static final Pattern TIMED = Pattern.compile("t([0-9]{10,15})-.+");

  private RequestIds() {}

  /**
   * Makes an id.
   *
   * @param now the current time
   * @param random the source of its random part
   * @return the id
   */
  public static RequestId generate(Instant now, UniformRandomProvider random) {
    String suffix = Long.toUnsignedString(random.nextLong(), Character.MAX_RADIX);
    return RequestId.of("t" + now.toEpochMilli() + "-" + suffix);
  }

  /**
   * Returns the time that an id carries.
   *
   * @param id the id
   * @return the time, or empty if it carries none
   */
  public static Optional<Instant> timeOf(RequestId id) {
    Matcher matcher = TIMED.matcher(id.value());
    if (!matcher.matches()) {
      return Optional.empty();
    }
    try {
      return Optional.of(Instant.ofEpochMilli(Long.parseLong(matcher.group(1))));
    } catch (DateTimeException e) {
      return Optional.empty();
    }
  }
}
