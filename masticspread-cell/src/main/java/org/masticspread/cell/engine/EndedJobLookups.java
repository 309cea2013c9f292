package org.masticspread.cell.engine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.masticspread.cell.journal.EndedRecord;

/**
 * Looks up single jobs that ended under earlier leaders, while all of them are still being loaded.
 * A new leader can therefore accept new jobs at once: on a slow link it takes seconds to load
 * thousands of ended jobs. Confined to the cell's thread.
 *
 * <p>Only a row that was read after this leader has taken over decides, since no earlier leader can
 * write any more.
 */
final class EndedJobLookups {
  /** Limits the reads in flight, so that they do not delay the other reads of a new leader. */
  static final int MAX_IN_FLIGHT = 32;

  private final BiConsumer<String, EndedRecord> found;
  private Optional<BiConsumer<String, Consumer<Optional<EndedRecord>>>> reader = Optional.empty();

  /** The calls about each job whose row has not been read yet, in the order of the first ones. */
  private final Map<String, List<Runnable>> waiting = new LinkedHashMap<>();

  private final ArrayDeque<String> unsent = new ArrayDeque<>();
  private final Set<String> absent = new HashSet<>();
  private int inFlight;
  private boolean allLoaded;

  /**
   * Creates lookups without a reader; calls wait until all ended jobs are loaded.
   *
   * @param found receives each job that was found, and what is stored about its end
   */
  EndedJobLookups(BiConsumer<String, EndedRecord> found) {
    this.found = found;
  }

  /** Sets what reads the end of one job, and answers once; empty if the job has not ended. */
  void readWith(BiConsumer<String, Consumer<Optional<EndedRecord>>> newReader) {
    reader = Optional.of(newReader);
  }

  /** Tells whether it is known that a job which this leader does not have has not ended before. */
  boolean decided(String job) {
    return allLoaded || absent.contains(job);
  }

  /** Runs a call once it is known whether its job has ended. */
  void await(String job, Runnable call) {
    List<Runnable> calls = waiting.get(job);
    if (calls != null) {
      calls.add(call);
      return;
    }
    waiting.put(job, new ArrayList<>(List.of(call)));
    unsent.add(job);
    sendNext();
  }

  /** Records that all ended jobs are loaded, and runs all waiting calls. */
  void allLoaded() {
    allLoaded = true;
    absent.clear();
    unsent.clear();
    List<List<Runnable>> calls = List.copyOf(waiting.values());
    waiting.clear();
    calls.forEach(each -> each.forEach(Runnable::run));
  }

  private void sendNext() {
    while (reader.isPresent() && inFlight < MAX_IN_FLIGHT && !unsent.isEmpty()) {
      String job = unsent.poll();
      inFlight++;
      reader.get().accept(job, end -> onRead(job, end));
    }
  }

  private void onRead(String job, Optional<EndedRecord> end) {
    inFlight--;
    if (!allLoaded) {
      end.ifPresentOrElse(record -> found.accept(job, record), () -> absent.add(job));
      Optional.ofNullable(waiting.remove(job)).ifPresent(calls -> calls.forEach(Runnable::run));
      sendNext();
    }
  }
}
