package org.masticspread.cell.engine;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.masticspread.cell.journal.QueueRecord;
import org.masticspread.cell.journal.Rows;
import org.masticspread.cell.port.TableCommit.RowName;
import org.masticspread.model.cell.CellConfig;
import org.masticspread.model.cell.QueueRule;

/**
 * The rules of the queues of accepted jobs. A job follows the newest configuration that has its
 * queue. If the queue leaves the configuration, its last rule stays in force for the jobs that were
 * accepted before; it is stored, so that a later leader knows it too. Confined to the cell's
 * thread.
 */
final class QueueRules {
  private final CellPorts ports;

  /** The rules that are stored or about to be, by the names of their queues. */
  private final Map<String, QueueRecord> stored = new HashMap<>();

  private CellConfig config;

  QueueRules(CellPorts ports, CellConfig config) {
    this.ports = ports;
    this.config = config;
  }

  /** Returns the configuration in force. */
  CellConfig config() {
    return config;
  }

  /** Returns the rule that is in force for the accepted jobs of a queue, if it is known. */
  Optional<QueueRule> find(String queue) {
    return config
        .queue(queue)
        .or(() -> Optional.ofNullable(stored.get(queue)).map(QueueRecord::rule));
  }

  /** Restores a rule that an earlier leader stored. */
  void restore(QueueRecord record) {
    stored.put(record.name(), record);
  }

  /** Applies a newer configuration, which may change or drop queues. */
  void configure(CellConfig newer) {
    for (String queue : List.copyOf(stored.keySet())) {
      boolean dropped = config.queue(queue).isPresent() && newer.queue(queue).isEmpty();
      if (dropped) {
        ports.log().event("queue-dropped", queue, "config", newer.version());
      }
      newer.queue(queue).ifPresent(this::store);
    }
    config = newer;
  }

  /** Stores the rule of a queue with the next commit, unless it is stored already. */
  void store(QueueRule rule) {
    QueueRecord record = QueueRecord.of(rule);
    if (!record.equals(stored.put(rule.name(), record))) {
      ports.journal().put(row(rule.name()), () -> Rows.encode(record));
    }
  }

  /** Stores the rules of the queues of restored jobs, and deletes those that no job needs. */
  void update(Iterable<Job> openJobs) {
    Set<String> needed = new HashSet<>();
    openJobs.forEach(job -> needed.add(job.order.queue()));
    needed.forEach(queue -> config.queue(queue).ifPresent(this::store));
    for (String queue : List.copyOf(stored.keySet())) {
      if (!needed.contains(queue) && config.queue(queue).isEmpty()) {
        stored.remove(queue);
        ports.journal().remove(row(queue));
      }
    }
  }

  private static RowName row(String queue) {
    return new RowName(Rows.QUEUE_TABLE, queue);
  }
}
