package org.masticspread.model.peer;

/** A message between two VMs; every kind is a record of this package. */
public interface PeerMessage {}
