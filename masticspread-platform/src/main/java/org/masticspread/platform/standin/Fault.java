package org.masticspread.platform.standin;

import java.time.Duration;

/**
 * A fault that one call meets.
 *
 * @param kind the kind
 * @param time how long a slow or silent call waits, or how old a stale list is; else zero
 */
public record Fault(FaultKind kind, Duration time) {}
