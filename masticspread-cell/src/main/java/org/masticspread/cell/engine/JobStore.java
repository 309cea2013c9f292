package org.masticspread.cell.engine;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.masticspread.cell.journal.EndedRecord;
import org.masticspread.cell.journal.EndedRecord.TeamRuns;
import org.masticspread.cell.journal.JobRecord;
import org.masticspread.cell.journal.ProgressRecord;
import org.masticspread.cell.journal.Rows;
import org.masticspread.cell.port.TableCommit.RowName;
import org.masticspread.model.cell.JobOrder;
import org.masticspread.model.cell.JobState;

/** The jobs of a cell and their durable rows. Confined to the cell's thread. */
final class JobStore {
  /** How long before its due time an occurrence is opened, so that advice can be requested. */
  private static final Duration OPEN_AHEAD = Duration.ofSeconds(1);

  private final CellPorts ports;

  /** The jobs that have not ended, or whose end is not durable yet. */
  private final Map<String, Job> jobs = new LinkedHashMap<>();

  /** The jobs that have not ended, in the order of their acceptance. */
  private final Map<String, Job> openJobs = new LinkedHashMap<>();

  /** The jobs whose end is durable. */
  private final Map<String, Ended> ended = new LinkedHashMap<>();

  /** The end of a job, and since when it is durable on the cell's clock. */
  private record Ended(EndedRecord record, long sinceMillis) {}

  JobStore(CellPorts ports) {
    this.ports = ports;
  }

  Optional<Job> find(String id) {
    return Optional.ofNullable(jobs.get(id));
  }

  /** Returns the state in which a job ended, once that is durable. */
  Optional<JobState> ended(String id) {
    return Optional.ofNullable(ended.get(id)).map(end -> end.record.state());
  }

  /** Returns what a job that ended counts against the cap of its team, once that is durable. */
  Optional<TeamRuns> endedRuns(String id) {
    return Optional.ofNullable(ended.get(id))
        .flatMap(end -> end.record.teamRuns().stream().findFirst());
  }

  /** Returns the team of a known job; empty for a job of no team. */
  Optional<String> team(String id) {
    return find(id)
        .map(job -> job.order.team())
        .or(() -> Optional.ofNullable(ended.get(id)).map(end -> end.record.team()));
  }

  /** Adds a job that ended under an earlier leader. */
  void restoreEnded(String id, EndedRecord record) {
    ended.putIfAbsent(id, new Ended(record, ports.clock().millis()));
  }

  Collection<Job> open() {
    return openJobs.values();
  }

  /** Finds a task by its full name, which is {@code job.occurrence.step.index}. */
  Optional<Task> task(String name) {
    String[] parts = name.split("\\.", -1);
    if (parts.length != 4) {
      return Optional.empty();
    }
    try {
      Job job = jobs.get(parts[0]);
      Step step = job == null ? null : job.step(parseNumber(parts[1]), parseNumber(parts[2]));
      int index = parseNumber(parts[3]);
      boolean known = step != null && index >= 0 && index < step.tasks.size();
      return known ? Optional.of(step.tasks.get(index)) : Optional.empty();
    } catch (NumberFormatException e) {
      ports.log().event("task-name-unreadable", name);
      return Optional.empty();
    }
  }

  private static int parseNumber(String text) {
    return Integer.parseInt(text);
  }

  /** Adds a job, and writes its row with the next commit. */
  Job accept(JobOrder order) {
    long epoch = ports.term().epoch();
    Instant now = ports.timeOfDay().instant();
    Job job = new Job(order, now, epoch, ports.clock().millis());
    jobs.put(job.id(), job);
    openJobs.put(job.id(), job);
    JobRecord record = new JobRecord(order, now.toEpochMilli(), epoch);
    ports.journal().put(new RowName(Rows.JOB_TABLE, job.id()), () -> Rows.encode(record));
    job.openUntil(openUntil());
    return job;
  }

  /** Removes a job if it is certainly not stored; returns whether it was removed. */
  boolean withdraw(Job job) {
    if (job.durable || !ports.journal().retract(new RowName(Rows.JOB_TABLE, job.id()))) {
      return false;
    }
    jobs.remove(job.id());
    openJobs.remove(job.id());
    return true;
  }

  /** Returns the open jobs that are not stored yet. */
  List<Job> unstoredJobs() {
    return openJobs.values().stream().filter(job -> !job.durable).toList();
  }

  /** Adds a job that an earlier leader accepted. */
  void restore(JobRecord record, Optional<ProgressRecord> progress) {
    Instant accepted = Instant.ofEpochMilli(record.acceptedAtMillis());
    long age = Duration.between(accepted, ports.timeOfDay().instant()).toMillis();
    long acceptedMillis = ports.clock().millis() - Math.max(0, age);
    Job job = new Job(record.order(), accepted, record.epoch(), acceptedMillis);
    job.durable = true;
    progress.ifPresentOrElse(
        saved -> job.restore(saved, openUntil()), () -> job.openUntil(openUntil()));
    jobs.put(job.id(), job);
    openJobs.put(job.id(), job);
  }

  /** Writes the progress of a job with the next commit, unless the job has ended. */
  void save(Job job) {
    if (job.state.ended()) {
      return;
    }
    ports
        .journal()
        .put(new RowName(Rows.PROGRESS_TABLE, job.id()), () -> Rows.encode(job.record()));
  }

  /** Ends a job; callers see the end once it is durable. Returns what is stored about it. */
  EndedRecord end(Job job, JobState state) {
    job.state = state;
    openJobs.remove(job.id());
    EndedRecord record = new EndedRecord(state, job.runsAtEnd(job.epoch < ports.term().epoch()));
    ports
        .journal()
        .replace(
            new RowName(Rows.ENDED_TABLE, job.id()),
            () -> Rows.encode(record),
            List.of(
                new RowName(Rows.JOB_TABLE, job.id()), new RowName(Rows.PROGRESS_TABLE, job.id())));
    ports
        .journal()
        .whenDurable(
            () -> {
              jobs.remove(job.id());
              ended.put(job.id(), new Ended(record, ports.clock().millis()));
            });
    return record;
  }

  /** Opens the occurrences of timed jobs that are due soon. */
  void openOccurrences() {
    for (Job job : openJobs.values()) {
      if (job.order.recurrence().timed()) {
        job.openUntil(openUntil());
      }
    }
  }

  private Instant openUntil() {
    return ports.timeOfDay().instant().plus(OPEN_AHEAD);
  }

  /** Removes ended jobs whose retention has expired. */
  void removeExpired() {
    long cutoffMillis = ports.clock().millis() - ports.limits().endedJobRetention().toMillis();
    List<String> expired = new ArrayList<>();
    ended.forEach(
        (id, end) -> {
          if (end.sinceMillis < cutoffMillis) {
            expired.add(id);
          }
        });
    for (String id : expired) {
      ended.remove(id);
      ports.journal().remove(new RowName(Rows.ENDED_TABLE, id));
    }
  }

  /** Counts the stored jobs of a queue of which no task has started. */
  int queuedCount(String queue) {
    int count = 0;
    for (Job job : openJobs.values()) {
      if (job.durable && job.state == JobState.QUEUED && job.order.queue().equals(queue)) {
        count++;
      }
    }
    return count;
  }
}
