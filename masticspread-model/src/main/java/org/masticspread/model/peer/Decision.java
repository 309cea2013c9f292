package org.masticspread.model.peer;

import java.time.Instant;
import org.masticspread.model.id.VmId;

/**
 * One decision about a job or a request, with its reason.
 *
 * @param at when it was made
 * @param vm the VM that made it
 * @param decision what was decided
 * @param reason why, a short sentence
 */
public record Decision(Instant at, VmId vm, String decision, String reason) {}
