package org.masticspread.wire.internal;

import io.reactivex.rxjava3.core.Scheduler;
import java.util.concurrent.Executor;
import org.masticspread.model.id.VmId;
import org.masticspread.wire.WireSettings;

/**
 * The context shared by all connections of a VM.
 *
 * @param settings the settings
 * @param self this VM
 * @param address the address at which peers reach this VM; may be empty
 * @param key the cluster key
 * @param metrics the counters
 * @param timers the scheduler for heartbeats and timeouts
 * @param handlerExecutor runs the handlers, which may block
 * @param completionExecutor completes the stages of calls, so that they do not complete on an event
 *     loop
 */
public record WireContext(
    WireSettings settings,
    VmId self,
    String address,
    ClusterKey key,
    WireMetrics metrics,
    Scheduler timers,
    Executor handlerExecutor,
    Executor completionExecutor) {}
