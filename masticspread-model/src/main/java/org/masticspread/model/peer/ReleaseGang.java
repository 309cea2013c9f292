package org.masticspread.model.peer;

import org.masticspread.model.id.JobKey;
import org.masticspread.model.id.RackId;

/**
 * Releases a reservation of a gang. Answered by {@link Acknowledged}.
 *
 * @param rack the rack
 * @param job the gang
 * @param attempt the attempt of the gang
 */
public record ReleaseGang(RackId rack, JobKey job, int attempt) implements PeerMessage {}
