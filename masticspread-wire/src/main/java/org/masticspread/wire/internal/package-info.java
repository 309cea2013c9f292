/** Frames, handshake, heartbeats and calls of the inner protocol. */
package org.masticspread.wire.internal;
