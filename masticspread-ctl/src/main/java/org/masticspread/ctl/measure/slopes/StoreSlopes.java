package org.masticspread.ctl.measure.slopes;

import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntFunction;
import org.apache.commons.rng.simple.RandomSource;
import org.masticspread.model.id.DataCentreId;
import org.masticspread.model.id.RequestKey;
import org.masticspread.model.id.ShardId;
import org.masticspread.model.id.VmId;
import org.masticspread.model.id.VmIncarnation;
import org.masticspread.model.result.ResultCode;
import org.masticspread.model.work.TaskPhase;
import org.masticspread.platform.standin.Faults;
import org.masticspread.platform.standin.MemoryObjects;
import org.masticspread.platform.standin.MemoryTable;
import org.masticspread.state.journal.Journal;
import org.masticspread.state.journal.JournalSettings;
import org.masticspread.state.journal.JournalSink;
import org.masticspread.state.ownership.JournalSource;
import org.masticspread.state.ownership.ShardRecovery;
import org.masticspread.state.ownership.ShardRow;
import org.masticspread.state.session.SessionKeeper;
import org.masticspread.state.session.SessionTiming;
import org.masticspread.state.shard.JournalRecord;
import org.masticspread.state.shard.Retention;
import org.masticspread.state.shard.WorkShardState;

/**
 * Measures of the bytes and writes sent to the table service, and of the time of journal recovery.
 */
final class StoreSlopes {
  private static final InstantSource CLOCK = InstantSource.fixed(Samples.NOW);
  private static final Duration MAX_HOLD_TIME = Duration.ofMinutes(1);
  private static final ShardId SHARD = ShardId.work(0);
  private static final long EPOCH = 1;
  private static final int RECORDS_PER_ROW = 20;

  private final MemoryTable table = new MemoryTable(Faults.none());
  private final VmIncarnation self;
  private final Journal journal;

  /** A sink that applies each durable record to the state of a single shard. */
  private record SingleShardSink(WorkShardState state) implements JournalSink {
    @Override
    public boolean accepts(ShardId shard, long epoch) {
      return shard.equals(SHARD) && epoch == EPOCH;
    }

    @Override
    public void onDurable(ShardId shard, long epoch, JournalRecord record) {
      state.apply(record);
    }
  }

  private StoreSlopes(long seed) throws Exception {
    SessionKeeper keeper =
        new SessionKeeper(
            table,
            SessionTiming.DEFAULT,
            VmId.of("vm-1"),
            "10.0.0.1:7081",
            DataCentreId.of("dc-1"),
            "nonce",
            () -> 0);
    self = keeper.open();
    journal =
        new Journal(
            table,
            self,
            JournalSettings.DEFAULT,
            new SingleShardSink(new WorkShardState(SHARD, Retention.DEFAULT)),
            CLOCK,
            () -> 0,
            RandomSource.XO_SHI_RO_256_PP.create(seed));
  }

  static List<SlopeRow> rows(int scale, long seed) {
    List<SlopeRow> rows = new ArrayList<>();
    rows.addAll(rows("accepted job", i -> List.of(accepted(i)), scale, seed));
    rows.addAll(rows("marked start", i -> List.of(marked(i)), scale, seed));
    rows.addAll(rows("task end", i -> List.of(ended(i)), scale, seed));
    rows.addAll(rows("at-most-once request", StoreSlopes::request, scale, seed));
    rows.add(
        Cost.row(
            "recovery against journal rows of " + RECORDS_PER_ROW + " records",
            "us/row",
            false,
            journalRows -> recovery(journalRows, seed),
            10 * scale,
            20 * scale,
            40 * scale));
    return rows;
  }

  private static List<SlopeRow> rows(
      String recordName, IntFunction<List<JournalRecord>> records, int scale, long seed) {
    int[] sizes = {10 * scale, 20 * scale, 40 * scale};
    return List.of(
        Cost.row(
            "journal bytes per " + recordName,
            "bytes/item",
            true,
            count -> flushed(records, count, seed).journal.bytesWritten(),
            sizes),
        Cost.row(
            "store writes per " + recordName + " in one flush",
            "writes/item",
            true,
            count -> flushed(records, count, seed).journal.rowsWritten(),
            sizes));
  }

  private static StoreSlopes flushed(IntFunction<List<JournalRecord>> records, int count, long seed)
      throws Exception {
    StoreSlopes store = new StoreSlopes(seed);
    for (int i = 0; i < count; i++) {
      records.apply(i).forEach(store::append);
    }
    store.flush();
    return store;
  }

  private void append(JournalRecord record) {
    var stage =
        journal.append(SHARD, EPOCH, record, Samples.NOW.plus(MAX_HOLD_TIME)).toCompletableFuture();
    if (stage.isCompletedExceptionally()) {
      throw new IllegalStateException("slopes: the journal refused a record");
    }
  }

  private void flush() {
    while (!journal.flush()) {
      if (journal.isFenced()) {
        throw new IllegalStateException("slopes: the session has ended");
      }
    }
  }

  private static JournalRecord accepted(int number) {
    return new JournalRecord.JobAccepted(Samples.job(number), Samples.NOW);
  }

  private static JournalRecord marked(int number) {
    return new JournalRecord.TaskStartMarked(Samples.task(number), 1, Samples.NOW);
  }

  static JournalRecord.TaskEnded ended(int number) {
    return new JournalRecord.TaskEnded(
        Samples.task(number),
        1,
        TaskPhase.SUCCEEDED,
        Samples.worker(number % 550),
        "",
        Samples.NOW);
  }

  private static List<JournalRecord> request(int number) {
    RequestKey key = Samples.request(number, false, 0).key();
    return List.of(
        new JournalRecord.RequestStarted(key, number * 0x9E3779B97F4A7C15L, Samples.NOW),
        new JournalRecord.RequestEnded(
            key, ResultCode.OK, Samples.body(Samples.BODY_BYTES), "", Samples.NOW));
  }

  private static double recovery(int journalRows, long seed) throws Exception {
    StoreSlopes store = new StoreSlopes(seed);
    for (int row = 0; row < journalRows; row++) {
      for (int i = 0; i < RECORDS_PER_ROW; i++) {
        store.append(accepted(row * RECORDS_PER_ROW + i));
      }
      store.flush();
    }
    ShardRow row =
        new ShardRow(store.self, EPOCH, null, List.of(new JournalSource(store.self, 1, EPOCH)));
    ShardRecovery recovery =
        new ShardRecovery(store.table, new MemoryObjects(Faults.none()), Retention.DEFAULT);
    int expected = journalRows * RECORDS_PER_ROW;
    if (recovery.recover(SHARD, row).jobCount() != expected) {
      throw new IllegalStateException("slopes: recovery did not find " + expected + " jobs");
    }
    return Meters.micros(() -> recovery.recover(SHARD, row));
  }
}
