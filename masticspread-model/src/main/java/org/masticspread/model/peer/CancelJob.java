package org.masticspread.model.peer;

import java.time.Instant;
import org.masticspread.model.id.JobKey;
import org.masticspread.model.id.ShardId;

/**
 * Cancels a job. Answered by {@link JobAnswered}.
 *
 * @param shard the work shard
 * @param job the job
 * @param acceptBy the deadline for the store to accept the change
 */
public record CancelJob(ShardId shard, JobKey job, Instant acceptBy) implements PeerMessage {}
