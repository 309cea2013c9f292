package org.masticspread.model.peer;

import java.time.Duration;
import org.masticspread.model.id.JobKey;
import org.masticspread.model.id.RackId;
import org.masticspread.model.resource.ResourceVector;

/**
 * Reserves room for part of a gang on a rack. Answered by {@link GangReserved}.
 *
 * @param rack the rack
 * @param job the gang
 * @param attempt the attempt of the gang
 * @param perTask the size of each task
 * @param wanted the maximum number of tasks to reserve room for
 * @param ttl the time to live of the reservation
 */
public record ReserveGang(
    RackId rack, JobKey job, int attempt, ResourceVector perTask, int wanted, Duration ttl)
    implements PeerMessage {}
