package org.masticspread.node.rack;

import java.time.Duration;

/**
 * Time limits of rack owners.
 *
 * @param lease how long a task may run on a worker without a lease renewal
 * @param skewMargin maximum difference between the clocks of two machines
 * @param startWindow maximum delay until a start reaches its worker
 */
public record RackTimes(Duration lease, Duration skewMargin, Duration startWindow) {}
