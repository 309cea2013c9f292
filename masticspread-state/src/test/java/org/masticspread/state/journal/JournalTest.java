package org.masticspread.state.journal;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.masticspread.model.result.ResultCode;
import org.masticspread.state.shard.JournalRecord;
import org.masticspread.state.testing.Fault;
import org.masticspread.state.testing.Samples;

class JournalTest extends JournalFixture {
  @Nested
  class Append {
    @Test
    void should_pass_the_error_to_the_caller_unwrapped() {
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
      var result = journal.append(SHARD, 2, record, clock.instant().plus(WRITE_TIMEOUT));
      // THEN
      AppendException error = errorOf(result.toCompletableFuture());
      assertThat(error.isNotWritten()).isTrue();
      assertThat(error.code()).isEqualTo(ResultCode.NOT_OWNER);
    }

    @Test
    void should_refuse_records_when_the_queue_is_full() {
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
    void should_commit_all_queued_records_in_one_row() throws Exception {
      // GIVEN
      List<CompletableFuture<Void>> results = Stream.of("a", "b", "c").map(s -> append(s)).toList();
      long before = table.commits();
      // WHEN
      boolean allResolved = journal.flush();
      // THEN
      assertThat(allResolved).isTrue();
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
    void should_not_commit_during_the_backoff_after_a_failure() {
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
      int recordsPerThread = 250;
      ExecutorService pool = Executors.newFixedThreadPool(threads);
      List<Future<?>> writers = new ArrayList<>();
      Queue<CompletableFuture<Void>> results = new ConcurrentLinkedQueue<>();
      // WHEN
      for (int t = 0; t < threads; t++) {
        String prefix = "t" + t + "-";
        writers.add(
            pool.submit(
                () -> {
                  for (int i = 0; i < recordsPerThread; i++) {
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
      assertThat(stored).hasSize(threads * recordsPerThread).doesNotHaveDuplicates();
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
  class WriteDeadline {
    @Test
    void should_withdraw_a_record_that_is_part_of_no_commit() throws Exception {
      // GIVEN
      table.setDown(true);
      final CompletableFuture<Void> result = append("a");
      journal.flush();
      // WHEN
      clock.advance(WRITE_TIMEOUT);
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
    void should_stay_in_doubt_until_resolved_and_then_report_the_outcome(Fault fault)
        throws Exception {
      // GIVEN
      table.failCommits("journal/", fault);
      final CompletableFuture<Void> result = append("a");
      journal.flush();
      // WHEN
      table.setDown(true);
      clock.advance(WRITE_TIMEOUT.multipliedBy(2));
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
    void should_resolve_an_expired_record_in_doubt_with_an_empty_row() throws Exception {
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

  @Test
  void should_keep_all_vms_within_the_write_budget() {
    // GIVEN // WHEN // THEN
    for (int vms : new int[] {1, 3, 6, 9, 18, 400}) {
      double perSecond = vms / (JournalSettings.flushInterval(vms, 200).toNanos() / 1e9);
      assertThat(perSecond).isLessThanOrEqualTo(200.001);
    }
  }
}
