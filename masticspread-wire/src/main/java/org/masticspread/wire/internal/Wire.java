package org.masticspread.wire.internal;

import io.reactivex.rxjava3.core.Scheduler;
import java.util.concurrent.Executor;
import org.masticspread.model.id.VmId;
import org.masticspread.wire.WireSettings;

/**
 * What all connections of a VM share.
 *
 * @param settings the limits
 * @param self this VM
 * @param address where this VM listens; may be empty
 * @param key the cluster key
 * @param metrics the counters
 * @param timers runs heartbeats and timeouts
 * @param handlers runs handlers, which may block
 * @param completions completes answers, off the event loops
 */
public record Wire(
    WireSettings settings,
    VmId self,
    String address,
    ClusterKey key,
    WireMetrics metrics,
    Scheduler timers,
    Executor handlers,
    Executor completions) {}
