/**
 * The content of a work shard: jobs, their tasks and the records of requests that run at most once.
 *
 * <p>Call order for a request: call {@code beginRequest}; if the request is new, append {@code
 * RequestStarted} to the journal and wait until the record is durable; dispatch the request; append
 * {@code RequestEnded}.
 */
package org.masticspread.state.shard;
