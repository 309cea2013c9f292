package org.masticspread.node.trial;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.masticspread.model.config.Configuration;
import org.masticspread.model.config.EndpointConfig;
import org.masticspread.model.config.EndpointState;
import org.masticspread.model.config.PoolConfig;
import org.masticspread.model.config.TeamConfig;
import org.masticspread.model.config.WorkClassConfig;
import org.masticspread.model.config.WorkerConfig;
import org.masticspread.model.id.DataCentreId;
import org.masticspread.model.id.EndpointId;
import org.masticspread.model.id.PoolId;
import org.masticspread.model.id.RackId;
import org.masticspread.model.id.TeamId;
import org.masticspread.model.id.WorkClassId;
import org.masticspread.model.id.WorkerId;
import org.masticspread.model.resource.ResourceVector;
import org.masticspread.model.work.Urgency;

/**
 * Configuration of a trial: one team with four work classes, two endpoints per VM and one rack of
 * four workers per VM, but at least two racks.
 */
final class TrialConfiguration {
  static final TeamId TEAM = TeamId.of("team-1");
  static final WorkClassId READS = WorkClassId.of("reads");
  static final WorkClassId ORDERS = WorkClassId.of("orders");
  static final WorkClassId BATCH = WorkClassId.of("batch");
  static final WorkClassId ONCE = WorkClassId.of("once");
  static final ResourceVector CAPACITY = new ResourceVector(4_000, 8L << 30, 0);
  private static final PoolId POOL = PoolId.of("pool-1");
  private static final DataCentreId DATA_CENTRE = DataCentreId.of("dc-1");
  private static final Duration ANSWER_WITHIN = Duration.ofSeconds(4);
  private static final Duration JOB_ANSWER_WITHIN = Duration.ofHours(1);
  private static final int QUEUE_LIMIT = 2_000;
  private static final long QUEUE_BYTES = 64L << 20;
  private static final int SLOTS = 4;
  private static final int CONNECTIONS = 32;
  private static final int ENDPOINTS_PER_VM = 2;
  private static final int WORKERS_PER_RACK = 4;
  private static final double CLASS_FLOOR = 0.25;

  private TrialConfiguration() {}

  static Configuration of(int vms) {
    return new Configuration(
        0,
        List.of(new PoolConfig(POOL, List.of(DATA_CENTRE), false)),
        List.of(new TeamConfig(TEAM, POOL, 1, 1, null, false)),
        List.of(
            workClass(READS, Urgency.URGENT, true, ANSWER_WITHIN),
            workClass(ORDERS, Urgency.URGENT, false, ANSWER_WITHIN),
            workClass(BATCH, Urgency.DEFERRABLE, true, JOB_ANSWER_WITHIN),
            workClass(ONCE, Urgency.DEFERRABLE, false, JOB_ANSWER_WITHIN)),
        endpoints(vms * ENDPOINTS_PER_VM),
        workers(Math.max(2, vms)));
  }

  private static WorkClassConfig workClass(
      WorkClassId name, Urgency urgency, boolean idempotent, Duration within) {
    return new WorkClassConfig(
        TEAM, name, urgency, idempotent, CLASS_FLOOR, within, 0, QUEUE_LIMIT, QUEUE_BYTES, false);
  }

  private static List<EndpointConfig> endpoints(int count) {
    List<EndpointConfig> endpoints = new ArrayList<>();
    for (int i = 1; i <= count; i++) {
      endpoints.add(
          new EndpointConfig(
              EndpointId.of("endpoint-" + i),
              POOL,
              DATA_CENTRE,
              "127.0.0.1:" + (20_000 + i),
              SLOTS,
              CONNECTIONS,
              EndpointState.ACTIVE));
    }
    return endpoints;
  }

  private static List<WorkerConfig> workers(int racks) {
    List<WorkerConfig> workers = new ArrayList<>();
    for (int i = 0; i < racks * WORKERS_PER_RACK; i++) {
      workers.add(
          new WorkerConfig(
              WorkerId.of("worker-" + (i + 1)),
              POOL,
              RackId.of("rack-" + (i / WORKERS_PER_RACK + 1)),
              DATA_CENTRE,
              "127.0.0.1:" + (21_000 + i),
              CAPACITY,
              EndpointState.ACTIVE));
    }
    return workers;
  }
}
