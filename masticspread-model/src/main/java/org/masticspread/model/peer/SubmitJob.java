package org.masticspread.model.peer;

import java.time.Instant;
import org.masticspread.model.id.ShardId;
import org.masticspread.model.work.JobSpec;

/**
 * Submits a job to the owner of its work shard. Answered by {@link JobAnswered}.
 *
 * @param shard the work shard
 * @param job the job
 * @param acceptBy the deadline for the store to accept the job
 */
public record SubmitJob(ShardId shard, JobSpec job, Instant acceptBy) implements PeerMessage {}
