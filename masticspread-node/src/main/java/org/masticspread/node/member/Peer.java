package org.masticspread.node.member;

import org.masticspread.model.peer.Digest;

/**
 * The latest digest of a VM.
 *
 * @param digest the digest
 * @param heardNanos when it came, on this VM's monotonic clock, in nanoseconds
 */
record Peer(Digest digest, long heardNanos) {}
