package org.masticspread.cell.engine;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.masticspread.cell.journal.JobRecord;
import org.masticspread.cell.journal.ProgressRecord;
import org.masticspread.cell.journal.Rows;
import org.masticspread.cell.port.TableCommit.RowName;
import org.masticspread.model.cell.JobOrder;
import org.masticspread.model.cell.JobState;

/** The jobs of a cell and their durable rows. Confined to the cell. */
final class JobBook {
  /** Occurrences are opened so early that their advice can be asked for. */
  private static final Duration OPEN_AHEAD = Duration.ofSeconds(1);

  private final CellPorts ports;
  private final Map<String, Job> jobs = new LinkedHashMap<>();

  /** The jobs that have not ended, in the order of their acceptance. */
  private final Map<String, Job> open = new LinkedHashMap<>();

  JobBook(CellPorts ports) {
    this.ports = ports;
  }

  Optional<Job> find(String id) {
    return Optional.ofNullable(jobs.get(id));
  }

  Collection<Job> open() {
    return open.values();
  }

  /** Finds the task of a full name. */
  Optional<Task> task(String name) {
    String[] parts = name.split("\\.", -1);
    if (parts.length != 4) {
      return Optional.empty();
    }
    try {
      Job job = jobs.get(parts[0]);
      Step step = job == null ? null : job.step(number(parts[1]), number(parts[2]));
      int index = number(parts[3]);
      boolean known = step != null && index >= 0 && index < step.tasks.size();
      return known ? Optional.of(step.tasks.get(index)) : Optional.empty();
    } catch (NumberFormatException e) {
      ports.log().event("task-name-unreadable", name);
      return Optional.empty();
    }
  }

  private static int number(String text) {
    return Integer.parseInt(text);
  }

  /** Adds a job whose row is written with the next commit. */
  Job accept(JobOrder order) {
    long epoch = ports.term().epoch();
    Instant now = ports.timeOfDay().instant();
    Job job = new Job(order, now, epoch, ports.clock().millis());
    jobs.put(job.id(), job);
    open.put(job.id(), job);
    JobRecord record = new JobRecord(order, now.toEpochMilli(), epoch);
    ports.journal().put(new RowName(Rows.JOB_TABLE, job.id()), () -> Rows.encode(record));
    job.openUntil(openUntil());
    return job;
  }

  /** Gives up a job that is certainly not stored; returns whether it is given up. */
  boolean withdraw(Job job) {
    if (job.durable || !ports.journal().retract(new RowName(Rows.JOB_TABLE, job.id()))) {
      return false;
    }
    jobs.remove(job.id());
    open.remove(job.id());
    return true;
  }

  /** Returns the jobs that are not stored yet. */
  List<Job> accepting() {
    return open.values().stream().filter(job -> !job.durable).toList();
  }

  /** Adds a job that an earlier leader accepted. */
  void restore(JobRecord record, Optional<ProgressRecord> progress) {
    Instant accepted = Instant.ofEpochMilli(record.acceptedAtMillis());
    long age = Duration.between(accepted, ports.timeOfDay().instant()).toMillis();
    long acceptedMillis = ports.clock().millis() - Math.max(0, age);
    Job job = new Job(record.order(), accepted, record.epoch(), acceptedMillis);
    job.durable = true;
    jobs.put(job.id(), job);
    progress.ifPresentOrElse(
        saved -> job.restore(saved, openUntil()), () -> job.openUntil(openUntil()));
    if (job.state.ended()) {
      job.endedMillis = ports.clock().millis();
      return;
    }
    open.put(job.id(), job);
  }

  /** Writes the progress of a job with the next commit. */
  void save(Job job) {
    ports
        .journal()
        .put(new RowName(Rows.PROGRESS_TABLE, job.id()), () -> Rows.encode(job.record()));
  }

  /** Ends a job; callers see it once it is durable. */
  void end(Job job, JobState state) {
    job.state = state;
    job.endedMillis = ports.clock().millis();
    open.remove(job.id());
    save(job);
    ports.journal().whenDurable(() -> job.shown = state);
  }

  /** Opens occurrences whose time has come near. */
  void openOccurrences() {
    for (Job job : open.values()) {
      if (job.order.recurrence().timed()) {
        job.openUntil(openUntil());
      }
    }
  }

  private Instant openUntil() {
    return ports.timeOfDay().instant().plus(OPEN_AHEAD);
  }

  /** Forgets jobs that ended longer ago than they must be shown. */
  void dropOld() {
    long before = ports.clock().millis() - ports.limits().statusKept().toMillis();
    List<Job> old = new ArrayList<>();
    for (Job job : jobs.values()) {
      if (job.endedMillis >= 0 && job.endedMillis < before && job.shown.ended()) {
        old.add(job);
      }
    }
    for (Job job : old) {
      jobs.remove(job.id());
      ports.journal().remove(new RowName(Rows.JOB_TABLE, job.id()));
      ports.journal().remove(new RowName(Rows.PROGRESS_TABLE, job.id()));
    }
  }

  int waiting(String queue) {
    int count = 0;
    for (Job job : open.values()) {
      if (job.durable && job.state == JobState.QUEUED && job.order.queue().equals(queue)) {
        count++;
      }
    }
    return count;
  }
}
