package org.masticspread.model.peer;

import java.time.Instant;
import org.masticspread.model.id.VmId;

/**
 * One decision about a job or a request, with its reason.
 *
 * @param at when the decision was made
 * @param vm the VM that made the decision
 * @param decision the decision
 * @param reason the reason, as a short sentence
 */
public record Decision(Instant at, VmId vm, String decision, String reason) {}
