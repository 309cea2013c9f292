package org.masticspread.model.peer;

import org.masticspread.model.id.JobKey;
import org.masticspread.model.id.ShardId;

/**
 * Reads a job. Answered by {@link JobAnswered}.
 *
 * @param shard the work shard
 * @param job the job
 */
public record ReadJob(ShardId shard, JobKey job) implements PeerMessage {}
