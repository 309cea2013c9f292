package org.masticspread.platform.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.masticspread.codec.Mappers;
import org.masticspread.model.id.VmId;
import org.masticspread.model.platform.Row;
import org.masticspread.model.platform.StartTask;
import org.masticspread.model.platform.TaskAttempt;
import org.masticspread.model.platform.TaskOrder;
import org.masticspread.model.work.Payload;

/** Names and bodies of the HTTP calls; each body that answers ends with a line feed and its id. */
final class Protocol {
  /** The header that carries the id of a call, in the request and in its answer. */
  static final String CALL_ID = "masticspread-call";

  /** The header that tells how a call ended: ok, error, busy or refused. */
  static final String OUTCOME = "masticspread-outcome";

  static final String OK = "ok";
  static final String ERROR = "error";
  static final String BUSY = "busy";
  static final String REFUSED = "refused";

  private Protocol() {}

  record ReadRow(String key) {}

  record ScanRows(String prefix, String after, int limit) {}

  record Rows(List<Row> rows) {}

  record PutObject(String name, Payload content) {}

  record NamedObject(String name) {}

  record FoundObject(Payload content) {}

  record ObjectNames(List<String> names) {}

  record Deregister(VmId vm) {}

  record Seal(long rackEpoch) {}

  record Start(long rackEpoch, StartTask start) {}

  record Renew(long rackEpoch, Instant leaseUntil, List<TaskAttempt> acknowledged) {}

  record Order(long rackEpoch, TaskAttempt task, TaskOrder order) {}

  record Nothing() {}

  /**
   * Why a call was refused.
   *
   * @param kind condition, effect, reason or input
   * @param value the row, the effect or the reason
   * @param detail a short sentence
   */
  record Refusal(String kind, String value, String detail) {
    static final String CONDITION = "condition";
    static final String EFFECT = "effect";
    static final String REASON = "reason";
    static final String INPUT = "input";
  }

  static byte[] write(Object value) {
    try {
      return Mappers.json().writeValueAsBytes(value);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("cannot write " + value.getClass().getSimpleName(), e);
    }
  }

  static <T> T read(byte[] bytes, Class<T> type) throws IOException {
    T value = Mappers.json().readValue(bytes, type);
    if (value == null) {
      throw new IOException("null instead of " + type.getSimpleName());
    }
    return value;
  }

  /** Appends the end marker of an answer. */
  static byte[] sealed(byte[] body, String callId) {
    byte[] marker = marker(callId);
    byte[] whole = Arrays.copyOf(body, body.length + marker.length);
    System.arraycopy(marker, 0, whole, body.length, marker.length);
    return whole;
  }

  /** Takes the end marker off, or returns empty if the answer does not end with it. */
  static Optional<byte[]> unsealed(byte[] whole, String callId) {
    byte[] marker = marker(callId);
    int length = whole.length - marker.length;
    if (length < 0 || !Arrays.equals(whole, length, whole.length, marker, 0, marker.length)) {
      return Optional.empty();
    }
    return Optional.of(Arrays.copyOf(whole, length));
  }

  private static byte[] marker(String callId) {
    return ("\n" + callId).getBytes(StandardCharsets.UTF_8);
  }
}
