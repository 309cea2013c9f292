package org.masticspread.model.peer;

/** A message between two VMs. Each message type is a record of this package. */
public interface PeerMessage {}
