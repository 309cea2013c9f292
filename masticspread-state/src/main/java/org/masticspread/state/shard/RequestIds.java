package org.masticspread.state.shard;

import java.time.DateTimeException;
import java.time.Instant;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apache.commons.rng.UniformRandomProvider;
import org.masticspread.model.id.RequestId;

/**
 * Request ids that contain their creation time, in the form {@code tMILLIS-RANDOM}. A request whose
 * id of this form is older than the retention of records and hashes is refused. Callers may create
 * such ids themselves.
 */
public final class RequestIds {
  private static final Pattern TIMESTAMPED_ID = Pattern.compile("t([0-9]{10,15})-.+");

  private RequestIds() {}

  /**
   * Generates an id.
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
   * Returns the creation time contained in an id.
   *
   * @param id the id
   * @return the time, or empty if the id contains none
   */
  public static Optional<Instant> timestampOf(RequestId id) {
    Matcher matcher = TIMESTAMPED_ID.matcher(id.value());
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
