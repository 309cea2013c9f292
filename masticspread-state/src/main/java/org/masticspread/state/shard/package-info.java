/**
 * The content of a work shard: jobs, their tasks and the records of requests that run at most once.
 *
 * <p>Call order for a request: {@code beginRequest}; when it is new, append {@code RequestStarted}
 * to the journal and wait until it is durable; dispatch; append {@code RequestEnded}.
 */
package org.masticspread.state.shard;
