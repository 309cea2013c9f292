package org.masticspread.state.journal;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.junit.jupiter.api.BeforeEach;
import org.masticspread.model.id.DataCentreId;
import org.masticspread.model.id.ShardId;
import org.masticspread.model.id.VmId;
import org.masticspread.model.id.VmIncarnation;
import org.masticspread.model.platform.TableService;
import org.masticspread.model.platform.Transaction;
import org.masticspread.state.session.FenceRow;
import org.masticspread.state.session.SessionKeeper;
import org.masticspread.state.session.SessionState;
import org.masticspread.state.session.SessionTiming;
import org.masticspread.state.shard.JournalRecord;
import org.masticspread.state.testing.FakeTable;
import org.masticspread.state.testing.Samples;
import org.masticspread.state.testing.VirtualClock;

/** Fixture with a journal on an in-memory table. */
abstract class JournalFixture {
  static final ShardId SHARD = ShardId.work(1);
  static final long EPOCH = 3;
  static final Duration WRITE_TIMEOUT = Duration.ofSeconds(2);

  final VirtualClock clock = new VirtualClock();
  final FakeTable table = new FakeTable(clock);
  final List<JournalRecord> applied = new ArrayList<>();
  final JournalSink sink =
      new JournalSink() {
        @Override
        public boolean accepts(ShardId shard, long epoch) {
          return epoch == EPOCH;
        }

        @Override
        public void onDurable(ShardId shard, long epoch, JournalRecord record) {
          applied.add(record);
        }
      };
  final List<CompletableFuture<Void>> queued = new ArrayList<>();
  VmIncarnation self;
  Journal journal;

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

  Journal journal(JournalSettings settings) {
    return journal(settings, table);
  }

  Journal journal(JournalSettings settings, TableService store) {
    return new Journal(store, self, settings, sink, clock, clock::nanos, Samples.random(1));
  }

  CompletableFuture<Void> append(String job) {
    return append(job, WRITE_TIMEOUT);
  }

  CompletableFuture<Void> append(String job, Duration writeTimeout) {
    var record = new JournalRecord.JobAccepted(Samples.job(job, 1, true), clock.instant());
    return journal
        .append(SHARD, EPOCH, record, clock.instant().plus(writeTimeout))
        .toCompletableFuture();
  }

  void queue(String job) {
    queued.add(append(job));
  }

  void flushLater() {
    clock.advance(Duration.ofSeconds(3));
    journal.flush();
  }

  List<String> stored() throws Exception {
    List<String> jobs = new ArrayList<>();
    for (JournalBatch batch : new JournalReader(table).read(self, 1)) {
      batch.entries().forEach(e -> jobs.add(jobOf(e.record())));
    }
    return jobs;
  }

  static String jobOf(JournalRecord record) {
    return ((JournalRecord.JobAccepted) record).spec().key().job().value();
  }

  static AppendException errorOf(CompletableFuture<Void> result) {
    try {
      result.getNow(null);
      return null;
    } catch (CompletionException e) {
      return (AppendException) e.getCause();
    }
  }

  void fence(SessionState state) throws Exception {
    table.commit(new Transaction(List.of(), List.of(FenceRow.write(self, state))));
  }
}
