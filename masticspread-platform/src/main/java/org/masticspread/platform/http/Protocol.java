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

/**
 * Headers and bodies of the HTTP calls. The body of each answer ends with a marker: a line feed and
 * the id of the call.
 */
final class Protocol {
  /** The header that carries the call id, in the request and in the answer. */
  static final String CALL_ID = "masticspread-call";

  /** The header that carries the outcome of a call: ok, error, busy or refused. */
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
   * The reason for refusing a call.
   *
   * @param kind condition, effect, reason or input
   * @param value the row key, effect, reason or exception type, depending on the kind
   * @param detail a short description
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

  /** Appends the end marker to the body of an answer. */
  static byte[] appendMarker(byte[] body, String callId) {
    byte[] marker = marker(callId);
    byte[] content = Arrays.copyOf(body, body.length + marker.length);
    System.arraycopy(marker, 0, content, body.length, marker.length);
    return content;
  }

  /** Removes the end marker, or returns empty if the content does not end with it. */
  static Optional<byte[]> removeMarker(byte[] content, String callId) {
    byte[] marker = marker(callId);
    int length = content.length - marker.length;
    if (length < 0 || !Arrays.equals(content, length, content.length, marker, 0, marker.length)) {
      return Optional.empty();
    }
    return Optional.of(Arrays.copyOf(content, length));
  }

  private static byte[] marker(String callId) {
    return ("\n" + callId).getBytes(StandardCharsets.UTF_8);
  }
}
