package org.masticspread.platform.standin;

import java.time.Duration;

/**
 * A fault that is injected into a call.
 *
 * @param kind the kind of fault
 * @param time the delay of a slow or silent call, or the age of a stale list; otherwise zero
 */
public record Fault(FaultKind kind, Duration time) {}
