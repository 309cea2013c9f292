/**
 * Sessions of VM incarnations: opening, heartbeats, fencing.
 *
 * <p>Call order on each VM: {@code SessionKeeper.open} once, then at each interval {@code
 * heartbeat} and after it {@code SessionWatcher.tick}; {@code close} at a graceful shutdown.
 */
package org.masticspread.state.session;
