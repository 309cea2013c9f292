/**
 * Concurrency limits, circuit breakers, retry budgets and statistics for calls to the stores of the
 * platform.
 */
package org.masticspread.state.guard;
