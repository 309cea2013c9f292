package org.masticspread.state.journal;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.masticspread.model.id.DataCentreId;
import org.masticspread.model.id.ShardId;
import org.masticspread.model.id.VmId;
import org.masticspread.model.id.VmIncarnation;
import org.masticspread.model.platform.Transaction;
import org.masticspread.model.result.ResultCode;
import org.masticspread.model.work.Payload;
import org.masticspread.state.format.RecordFormatException;
import org.masticspread.state.format.RecordFormatException.Problem;
import org.masticspread.state.format.StateKeys;
import org.masticspread.state.session.FenceRow;
import org.masticspread.state.session.SessionKeeper;
import org.masticspread.state.session.SessionState;
import org.masticspread.state.session.SessionTiming;
import org.masticspread.state.shard.JournalRecord;
import org.masticspread.state.testing.FakeTable;
import org.masticspread.state.testing.Fault;
import org.masticspread.state.testing.Samples;
import org.masticspread.state.testing.VirtualClock;

class JournalTest {
  private static final ShardId SHARD = ShardId.work(1);
  private static final long EPOCH = 3;
  private static final Duration HOLD = Duration.ofSeconds(2);

  private final VirtualClock clock = new VirtualClock();
  private final FakeTable table = new FakeTable(clock);
  private final List<JournalRecord> applied = new ArrayList<>();
  private final JournalSink sink =
      new JournalSink() {
        @Override
        public boolean accepts(ShardId shard, long epoch) {
          return epoch == EPOCH;
        }

        @Override
        public void durable(ShardId shard, long epoch, JournalRecord record) {
          applied.add(record);
        }
      };
  private final List<CompletableFuture<Void>> queued = new ArrayList<>();
  private VmIncarnation self;
  private Journal journal;

  @BeforeEach
  void open() throws Exception {
    SessionKeeper keeper =
        new SessionKeeper(
            table,
            SessionTiming.DEFAULT,
            VmId.of("vm-a"),
            "a:1",
            DataCentreId.of("gori"),
            "n",
            clock::nanos);
    self = keeper.open();
    journal = journal(JournalSettings.DEFAULT);
  }

  private Journal journal(JournalSettings settings) {
    return new Journal(table, self, settings, sink, clock, clock::nanos, Samples.random(1));
  }

  private CompletableFuture<Void> append(String job) {
    return append(job, HOLD);
  }

  private CompletableFuture<Void> append(String job, Duration hold) {
    var record = new JournalRecord.JobAccepted(Samples.job(job, 1, true), clock.instant());
    return journal.append(SHARD, EPOCH, record, clock.instant().plus(hold)).toCompletableFuture();
  }

  private void queue(String job) {
    queued.add(append(job));
  }

  private void flushLater() {
    clock.advance(Duration.ofSeconds(3));
    journal.flush();
  }

  private List<String> stored() throws Exception {
    List<String> jobs = new ArrayList<>();
    for (JournalBatch batch : new JournalReader(table).read(self, 1)) {
      batch.entries().forEach(e -> jobs.add(jobOf(e.record())));
    }
    return jobs;
  }

  private static String jobOf(JournalRecord record) {
    return ((JournalRecord.JobAccepted) record).spec().key().job().value();
  }

  private static AppendException errorOf(CompletableFuture<Void> result) {
    try {
      result.getNow(null);
      return null;
    } catch (CompletionException e) {
      return (AppendException) e.getCause();
    }
  }

  private void fence(SessionState state) throws Exception {
    table.commit(new Transaction(List.of(), List.of(FenceRow.write(self, state))));
  }

  @Nested
  class Append {
    @Test
    void should_hand_the_error_itself_to_the_caller() {
      // GIVEN
      List<Throwable> errors = new ArrayList<>();
      table.setDown(true);
      queued.add(append("a").whenComplete((done, error) -> errors.add(error)));
      // WHEN
      flushLater();
      // THEN
      assertThat(errors).hasExactlyElementsOfTypes(WithdrawnException.class);
    }

    @Test
    void should_refuse_a_shard_that_is_not_held() {
      // GIVEN
      var record = new JournalRecord.JobAccepted(Samples.job("a", 1, true), clock.instant());
      // WHEN
      var result = journal.append(SHARD, 2, record, clock.instant().plus(HOLD));
      // THEN
      AppendException error = errorOf(result.toCompletableFuture());
      assertThat(error.isNotWritten()).isTrue();
      assertThat(error.code()).isEqualTo(ResultCode.NOT_OWNER);
    }

    @Test
    void should_refuse_what_the_queue_does_not_hold() {
      // GIVEN
      journal =
          journal(new JournalSettings(10, 999_999, 2, Duration.ofMillis(1), Duration.ofMillis(2)));
      Stream.of("a", "b").forEach(JournalTest.this::queue);
      // WHEN // THEN
      assertThat(errorOf(append("c"))).isInstanceOf(WithdrawnException.class);
    }
  }

  @Nested
  class Flush {
    @Test
    void should_commit_all_that_waits_in_one_row() throws Exception {
      // GIVEN
      List<CompletableFuture<Void>> results = Stream.of("a", "b", "c").map(s -> append(s)).toList();
      long before = table.commits();
      // WHEN
      boolean settled = journal.flush();
      // THEN
      assertThat(settled).isTrue();
      assertThat(results).allMatch(r -> r.isDone() && !r.isCompletedExceptionally());
      assertThat(table.commits() - before).isEqualTo(1);
      assertThat(stored()).containsExactly("a", "b", "c");
      assertThat(applied).extracting(JournalTest::jobOf).containsExactly("a", "b", "c");
    }

    @ParameterizedTest
    @CsvSource({"2, 1000000", "1000, 700"})
    void should_split_groups_at_the_limits(int records, int bytes) throws Exception {
      // GIVEN
      journal =
          journal(
              new JournalSettings(records, bytes, 99, Duration.ofMillis(1), Duration.ofMillis(2)));
      Stream.of("a", "b", "c", "d").forEach(JournalTest.this::queue);
      // WHEN
      journal.flush();
      int first = stored().size();
      journal.flush();
      journal.flush();
      // THEN
      assertThat(first).isEqualTo(2);
      assertThat(stored()).containsExactly("a", "b", "c", "d");
    }

    @Test
    void should_wait_after_a_failure_for_the_backoff() {
      // GIVEN
      queue("a");
      table.failCommits("journal/", Fault.REFUSED);
      journal.flush();
      long before = table.commits();
      // WHEN
      journal.flush();
      // THEN
      assertThat(table.commits()).isEqualTo(before);
    }

    @ParameterizedTest
    @EnumSource(
        value = Fault.class,
        names = {"REFUSED", "ERROR_BEFORE", "ERROR_AFTER", "LATE_EFFECT", "SLOW"})
    void should_write_each_record_once_after_a_fault(Fault fault) throws Exception {
      // GIVEN
      table.failCommits("journal/", fault, fault);
      final CompletableFuture<Void> first = append("a", Duration.ofHours(1));
      journal.flush();
      final CompletableFuture<Void> second = append("b", Duration.ofHours(1));
      // WHEN
      for (int i = 0; i < 6; i++) {
        flushLater();
      }
      // THEN
      assertThat(stored()).containsExactly("a", "b");
      assertThat(applied).extracting(JournalTest::jobOf).containsExactly("a", "b");
      assertThat(first.isDone() && second.isDone()).isTrue();
    }
  }

  @Nested
  class ManyThreads {
    @Test
    void should_write_each_record_once_in_the_order_of_each_thread() throws Exception {
      // GIVEN
      int threads = 4;
      int each = 250;
      ExecutorService pool = Executors.newFixedThreadPool(threads);
      List<Future<?>> writers = new ArrayList<>();
      Queue<CompletableFuture<Void>> results = new ConcurrentLinkedQueue<>();
      // WHEN
      for (int t = 0; t < threads; t++) {
        String prefix = "t" + t + "-";
        writers.add(
            pool.submit(
                () -> {
                  for (int i = 0; i < each; i++) {
                    results.add(append(prefix + i));
                    journal.flush();
                  }
                }));
      }
      for (Future<?> writer : writers) {
        writer.get(30, TimeUnit.SECONDS);
      }
      pool.shutdown();
      journal.flush();
      // THEN
      List<String> stored = stored();
      assertThat(stored).hasSize(threads * each).doesNotHaveDuplicates();
      assertThat(results).allMatch(r -> r.isDone() && !r.isCompletedExceptionally());
      assertThat(applied).extracting(JournalTest::jobOf).isEqualTo(stored);
      for (int t = 0; t < threads; t++) {
        String prefix = "t" + t + "-";
        assertThat(stored.stream().filter(s -> s.startsWith(prefix)))
            .isSortedAccordingTo(Comparator.comparingInt(s -> Integer.parseInt(s.substring(3))));
      }
    }
  }

  @Nested
  class HoldUntil {
    @Test
    void should_withdraw_what_no_commit_holds() throws Exception {
      // GIVEN
      table.setDown(true);
      final CompletableFuture<Void> result = append("a");
      journal.flush();
      // WHEN
      clock.advance(HOLD);
      journal.withdrawExpired();
      // THEN
      assertThat(errorOf(result).isNotWritten()).isTrue();
      assertThat(errorOf(result).code()).isEqualTo(ResultCode.STORE_UNAVAILABLE);
      table.setDown(false);
      flushLater();
      assertThat(stored()).isEmpty();
    }

    @ParameterizedTest
    @EnumSource(
        value = Fault.class,
        names = {"ERROR_BEFORE", "ERROR_AFTER", "LATE_EFFECT"})
    void should_stay_in_doubt_until_settled_and_then_tell_the_truth(Fault fault) throws Exception {
      // GIVEN
      table.failCommits("journal/", fault);
      final CompletableFuture<Void> result = append("a");
      journal.flush();
      // WHEN
      table.setDown(true);
      clock.advance(HOLD.multipliedBy(2));
      journal.withdrawExpired();
      journal.flush();
      // THEN
      assertThat(result).isNotDone();
      // WHEN
      table.setDown(false);
      for (int i = 0; i < 4; i++) {
        flushLater();
      }
      // THEN
      boolean written = stored().contains("a");
      assertThat(result.isCompletedExceptionally()).isEqualTo(!written);
      assertThat(written || errorOf(result).isNotWritten()).isTrue();
      assertThat(journal.pending(SHARD)).isZero();
    }

    @Test
    void should_settle_a_record_in_doubt_whose_time_has_passed_by_an_empty_row() throws Exception {
      // GIVEN
      table.failCommits("journal/", Fault.ERROR_BEFORE);
      final CompletableFuture<Void> result = append("a");
      journal.flush();
      // WHEN
      flushLater();
      flushLater();
      // THEN
      assertThat(errorOf(result).isNotWritten()).isTrue();
      assertThat(stored()).isEmpty();
      assertThat(journal.nextSeq()).isEqualTo(2);
    }
  }

  @Nested
  class Fenced {
    @ParameterizedTest
    @CsvSource({
      "NONE, FENCED, true, NOT_OWNER",
      "ERROR_BEFORE, FENCED, true, NOT_OWNER",
      "ERROR_BEFORE, COLLECTED, false, OUTCOME_UNKNOWN",
      "ERROR_AFTER, FENCED, , ",
      "LATE_EFFECT, FENCED, true, NOT_OWNER"
    })
    void should_tell_what_is_certain(
        Fault fault, SessionState state, Boolean notWritten, ResultCode code) throws Exception {
      // GIVEN
      final CompletableFuture<Void> result = append("a", Duration.ofHours(1));
      if (fault != Fault.NONE) {
        table.failCommits("journal/", fault);
        journal.flush();
      }
      fence(state);
      // WHEN
      for (int i = 0; i < 4; i++) {
        flushLater();
      }
      // THEN
      AppendException error = errorOf(result);
      assertThat(error == null ? null : error.isNotWritten()).isEqualTo(notWritten);
      assertThat(error == null ? null : error.code()).isEqualTo(code);
      assertThat(stored().isEmpty()).isEqualTo(error != null);
      assertThat(table.fencedWrites()).isEmpty();
      if (error != null) {
        assertThat(errorOf(append("b"))).isInstanceOf(FencedException.class);
      }
    }
  }

  @Nested
  class Read {
    @BeforeEach
    void write() {
      for (String job : List.of("a", "b", "c")) {
        queue(job);
        journal.flush();
      }
    }

    @ParameterizedTest
    @CsvSource({"TORN", "FOREIGN", "NEWER_VERSION", "MISSING"})
    void should_name_a_bad_row(Problem problem) throws Exception {
      // GIVEN
      String key = StateKeys.journal(self, 2);
      byte[] bytes = table.read(key).orElseThrow().value().bytes().clone();
      switch (problem) {
        case TORN -> bytes[bytes.length - 1]++;
        case FOREIGN ->
            bytes = table.read(StateKeys.journal(self, 1)).orElseThrow().value().bytes();
        case NEWER_VERSION -> bytes[3]++;
        default -> table.remove(key);
      }
      if (problem != Problem.MISSING) {
        table.overwrite(key, new Payload(bytes));
      }
      // WHEN // THEN
      assertThatThrownBy(() -> new JournalReader(table).read(self, 1))
          .isInstanceOfSatisfying(
              RecordFormatException.class,
              e -> assertThat(e.problem() + e.name()).isEqualTo(problem + key));
    }

    @Test
    void should_return_nothing_past_the_end() throws Exception {
      // GIVEN // WHEN // THEN
      assertThat(new JournalReader(table).read(self, 4)).isEmpty();
    }

    @Test
    void should_trim_only_rows_below_the_position() throws Exception {
      // GIVEN // WHEN
      boolean done = journal.trim(3);
      // THEN
      assertThat(done).isTrue();
      assertThat(table.keys("journal/")).containsExactly(StateKeys.journal(self, 3));
      assertThat(new JournalReader(table).read(self, 3)).hasSize(1);
    }
  }

  @Test
  void should_keep_the_fleet_within_its_write_budget() {
    // GIVEN // WHEN // THEN
    for (int vms : new int[] {1, 3, 6, 9, 18, 400}) {
      double perSecond = vms / (JournalSettings.flushInterval(vms, 200).toNanos() / 1e9);
      assertThat(perSecond).isLessThanOrEqualTo(200.001);
    }
  }
}
