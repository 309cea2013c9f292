package org.masticspread.node.job;

import com.codahale.metrics.MetricRegistry;
import java.time.InstantSource;
import org.masticspread.node.explain.DecisionLog;
import org.masticspread.node.member.Authority;
import org.masticspread.node.member.Members;
import org.masticspread.node.member.PeerCalls;
import org.masticspread.policy.estimate.Estimates;
import org.masticspread.policy.health.TroubleDetector;
import org.masticspread.policy.jobs.JobQueue;

/**
 * What the parts of the work-shard owner share.
 *
 * @param clock the clock
 * @param times the times
 * @param journal makes changes durable
 * @param members knows racks and their owners
 * @param calls calls rack owners
 * @param authority tells whether this VM may act
 * @param queue the tasks that wait
 * @param estimates sizes and run times
 * @param trouble tells jobs that fail everywhere
 * @param decisions where decisions are remembered
 * @param metrics where it counts
 */
public record JobContext(
    InstantSource clock,
    JobTimes times,
    ShardJournal journal,
    Members members,
    PeerCalls calls,
    Authority authority,
    JobQueue queue,
    Estimates estimates,
    TroubleDetector trouble,
    DecisionLog decisions,
    MetricRegistry metrics) {}
