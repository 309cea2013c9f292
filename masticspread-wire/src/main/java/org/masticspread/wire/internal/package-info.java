/** Frames, handshakes, heartbeats and calls of the peer protocol. */
package org.masticspread.wire.internal;
