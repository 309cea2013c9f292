package org.masticspread.state.shard;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.masticspread.model.id.RequestKey;
import org.masticspread.model.result.ResultCode;
import org.masticspread.model.result.RunState;
import org.masticspread.model.work.Answer;
import org.masticspread.model.work.RequestSpec;
import org.masticspread.state.shard.ShardSnapshot.RequestRow;

/** The records of requests that run at most once. Not thread-safe. */
final class RequestTable {
  private static final Duration MAX_CLOCK_SKEW = Duration.ofMinutes(1);

  private final Retention retention;
  private final ExpiredIds expired;
  private final Map<RequestKey, RequestRow> records = new HashMap<>();
  private final Map<RequestKey, Long> inFlight = new HashMap<>();

  RequestTable(Retention retention, ExpiredIds expired) {
    this.retention = retention;
    this.expired = expired;
  }

  BeginRequestResult begin(RequestSpec request, Instant now) {
    RequestKey key = request.key();
    long fingerprint = Fingerprint.of(request);
    Long pending = inFlight.get(key);
    if (pending != null) {
      return pending == fingerprint ? BeginRequestResult.IN_FLIGHT : reused(key);
    }
    RequestRow record = records.get(key);
    if (record != null) {
      return record.fingerprint() == fingerprint
          ? BeginRequestResult.decided(answerOf(record))
          : reused(key);
    }
    Optional<Answer> refusal = refusal(request, now);
    if (refusal.isPresent()) {
      return BeginRequestResult.decided(refusal.get());
    }
    inFlight.put(key, fingerprint);
    return BeginRequestResult.NEW;
  }

  private Optional<Answer> refusal(RequestSpec request, Instant now) {
    RequestKey key = request.key();
    if (expired.contains(hashKey(key)) || isOlderThanRetention(key, now)) {
      return refuse(key, ResultCode.RECORD_EXPIRED, "the record of this request id has expired");
    }
    Optional<Instant> createdAt = RequestIds.timestampOf(key.request());
    if (createdAt.isPresent() && createdAt.get().isAfter(now.plus(MAX_CLOCK_SKEW))) {
      return refuse(key, ResultCode.INVALID_FIELD, "request: the time in the id is in the future");
    }
    if (!request.answerBy().isAfter(now)) {
      return refuse(key, ResultCode.DEADLINE_PASSED, "the answer-by time has passed");
    }
    if (request.answerBy().isAfter(now.plus(retention.maxAnswerTime()))) {
      String detail = "answerWithin: at most " + retention.maxAnswerTime() + " is allowed";
      return refuse(key, ResultCode.INVALID_FIELD, detail);
    }
    return Optional.empty();
  }

  /**
   * Returns whether the id contains a creation time so old that its record and the hash of its id
   * may both have expired.
   */
  private boolean isOlderThanRetention(RequestKey key, Instant now) {
    Instant horizon = now.minus(retention.requests()).minus(retention.hashes());
    Optional<Instant> createdAt = RequestIds.timestampOf(key.request());
    return createdAt.isPresent() && createdAt.get().isBefore(horizon);
  }

  private static Optional<Answer> refuse(RequestKey key, ResultCode code, String detail) {
    return Optional.of(Answer.of(key, code, detail));
  }

  private static BeginRequestResult reused(RequestKey key) {
    String detail = "request: the id was used before with different content";
    return BeginRequestResult.decided(Answer.of(key, ResultCode.ID_REUSED, detail));
  }

  private static Answer answerOf(RequestRow record) {
    if (record.code() == null) {
      String detail = "the request was started before a takeover and its outcome is unknown";
      return Answer.of(record.key(), ResultCode.OUTCOME_UNKNOWN, detail);
    }
    return new Answer(record.key(), record.code(), record.body(), record.detail(), Duration.ZERO);
  }

  void abandon(RequestKey key) {
    inFlight.remove(key);
  }

  Optional<Answer> answer(RequestKey key) {
    if (inFlight.containsKey(key)) {
      return Optional.empty();
    }
    return Optional.ofNullable(records.get(key)).map(RequestTable::answerOf);
  }

  void applyStarted(JournalRecord.RequestStarted start) {
    RequestRow row =
        new RequestRow(start.request(), start.fingerprint(), start.at(), null, null, null);
    records.putIfAbsent(start.request(), row);
  }

  void applyEnded(JournalRecord.RequestEnded end) {
    inFlight.remove(end.request());
    RequestRow record = records.get(end.request());
    if (record == null || record.code() != null) {
      return;
    }
    if (end.code().runState() == RunState.NOT_RUN) {
      records.remove(end.request());
      return;
    }
    records.put(
        end.request(),
        new RequestRow(
            record.key(),
            record.fingerprint(),
            record.startedAt(),
            end.code(),
            end.body(),
            end.detail()));
  }

  boolean hasBefore(Instant instant) {
    return records.values().stream().anyMatch(r -> r.startedAt().isBefore(instant));
  }

  List<String> dropBefore(Instant instant) {
    List<RequestRow> old =
        records.values().stream().filter(r -> r.startedAt().isBefore(instant)).toList();
    old.forEach(row -> records.remove(row.key()));
    return old.stream().map(row -> hashKey(row.key())).toList();
  }

  private static String hashKey(RequestKey key) {
    return "request\n" + key;
  }

  int size() {
    return records.size();
  }

  List<RequestRow> snapshot() {
    List<RequestRow> rows = new ArrayList<>(records.values());
    rows.sort(Comparator.comparing(row -> row.key().toString()));
    return rows;
  }

  void restore(List<RequestRow> rows) {
    rows.forEach(row -> records.put(row.key(), row));
  }
}
