package org.masticspread.platform.standin;

import java.time.Duration;
import org.masticspread.model.resource.ResourceVector;

/**
 * What a task does on a worker of {@link WorkerFleet}.
 *
 * @param runFor how long it runs at full speed; null when it runs until it is stopped
 * @param succeeds whether it ends well
 * @param usage what it uses while it runs at full speed
 */
public record TaskPlan(Duration runFor, boolean succeeds, ResourceVector usage) {}
