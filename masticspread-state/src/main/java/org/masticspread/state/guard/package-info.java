/** Limits on calls to the platform's stores: concurrency, circuit, retry budget, counts. */
package org.masticspread.state.guard;
