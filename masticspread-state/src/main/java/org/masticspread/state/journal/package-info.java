/**
 * The journal of one VM incarnation: group commits, settling of lost answers, reading back.
 *
 * <p>Call order: {@code Journal.append} from any thread, {@code Journal.flush} at the flush
 * interval, {@code Journal.withdrawExpired} at a short interval.
 */
package org.masticspread.state.journal;
