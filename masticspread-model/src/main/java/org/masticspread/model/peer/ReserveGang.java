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
 * @param wanted the most tasks to reserve for
 * @param ttl how long the reservation stands
 */
public record ReserveGang(
    RackId rack, JobKey job, int attempt, ResourceVector perTask, int wanted, Duration ttl)
    implements PeerMessage {}
