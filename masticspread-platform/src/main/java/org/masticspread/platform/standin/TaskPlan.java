package org.masticspread.platform.standin;

import java.time.Duration;
import org.masticspread.model.resource.ResourceVector;

/**
 * The behaviour of a task on a worker of {@link WorkerFleet}.
 *
 * @param runFor the run time at full speed; null to run until stopped
 * @param succeeds whether the task succeeds
 * @param usage the resource usage at full speed
 */
public record TaskPlan(Duration runFor, boolean succeeds, ResourceVector usage) {}
