package review2;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** All runs of all tasks on all executors, and the check of the rule TWICE over them. */
final class History {
  /** One run. An end is taken note of when it is acknowledged and the lease has not lapsed. */
  static final class Entry {
    final String executor;
    final String task;
    final long run;
    final long startedMillis;
    long endedMillis = -1;
    String how = "";
    long ackedMillis = -1;
    boolean notedWithoutLapse;

    Entry(String executor, String task, long run, long startedMillis) {
      this.executor = executor;
      this.task = task;
      this.run = run;
      this.startedMillis = startedMillis;
    }

    synchronized void ended(long millis, String kind) {
      endedMillis = millis;
      how = kind;
    }

    synchronized void acked(long millis, boolean withoutLapse) {
      ackedMillis = millis;
      notedWithoutLapse = withoutLapse;
    }

    @Override
    public synchronized String toString() {
      return task + " run " + run + " on " + executor + " started " + startedMillis + " ended "
          + endedMillis + " " + how + " taken note of " + ackedMillis
          + (ackedMillis >= 0 && !notedWithoutLapse ? " after a lapse" : "");
    }
  }

  private record JobShape(int cpu, boolean checkpoints) {}

  private final Map<String, JobShape> jobs = new HashMap<>();
  private final Map<String, List<Entry>> runs = new LinkedHashMap<>();
  private final List<String> overCapacity = new ArrayList<>();

  synchronized void job(String id, int cpu, boolean checkpoints) {
    jobs.put(id, new JobShape(cpu, checkpoints));
  }

  private JobShape shape(String task) {
    return jobs.getOrDefault(task.substring(0, task.indexOf('.')), new JobShape(0, false));
  }

  synchronized int cpu(String task) {
    return shape(task).cpu;
  }

  synchronized boolean checkpoints(String task) {
    return shape(task).checkpoints;
  }

  synchronized Entry started(String executor, String task, long run) {
    Entry entry = new Entry(executor, task, run, Record.now());
    runs.computeIfAbsent(task, t -> new ArrayList<>()).add(entry);
    return entry;
  }

  synchronized void overCapacity(String executor, String task, long run, int used) {
    overCapacity.add(task + " run " + run + " brings " + executor + " to " + used);
  }

  synchronized List<String> overCapacity() {
    return List.copyOf(overCapacity);
  }

  synchronized List<Entry> all() {
    List<Entry> all = new ArrayList<>();
    runs.values().forEach(all::addAll);
    return all;
  }

  synchronized long succeeded(String job) {
    return runs.entrySet().stream()
        .filter(e -> e.getKey().startsWith(job + "."))
        .filter(e -> e.getValue().stream().anyMatch(r -> r.how.equals("done")))
        .count();
  }

  /** Returns each pair of runs that breaks TWICE. */
  synchronized List<String> twice() {
    List<String> broken = new ArrayList<>();
    for (List<Entry> of : runs.values()) {
      for (int i = 1; i < of.size(); i++) {
        Entry later = of.get(i);
        for (int j = 0; j < i; j++) {
          Entry earlier = of.get(j);
          boolean together = earlier.endedMillis < 0 || earlier.endedMillis > later.startedMillis;
          boolean afterDone =
              earlier.how.equals("done")
                  && earlier.endedMillis <= later.startedMillis
                  && earlier.ackedMillis >= 0
                  && earlier.notedWithoutLapse;
          if (together || afterDone) {
            broken.add((together ? "at the same time: " : "after done: ") + earlier + " | " + later);
          }
        }
      }
    }
    return broken;
  }
}
