/**
 * The journal of one VM incarnation: group commits, resolving of lost answers and reading.
 *
 * <p>Call order: {@code Journal.append} from any thread, {@code Journal.flush} at the flush
 * interval, {@code Journal.withdrawExpired} at a shorter interval.
 */
package org.masticspread.state.journal;
