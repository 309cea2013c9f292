package org.masticspread.state.session;

import org.masticspread.model.id.DataCentreId;
import org.masticspread.model.id.VmIncarnation;

/**
 * The stored session row of one VM incarnation.
 *
 * @param incarnation the incarnation
 * @param address the host and port of the VM for the peer protocol
 * @param dataCentre the data centre of the VM
 * @param state the state
 * @param beat the number of heartbeats so far
 * @param nonce a string that only this process uses, to recognise its own writes whose answers were
 *     lost
 */
public record SessionRow(
    VmIncarnation incarnation,
    String address,
    DataCentreId dataCentre,
    SessionState state,
    long beat,
    String nonce) {
  /**
   * Returns the row after the next heartbeat.
   *
   * @param newBeat the number of heartbeats
   * @return the row
   */
  public SessionRow withBeat(long newBeat) {
    return new SessionRow(incarnation, address, dataCentre, state, newBeat, nonce);
  }

  /**
   * Returns the row in another state.
   *
   * @param newState the state
   * @return the row
   */
  public SessionRow withState(SessionState newState) {
    return new SessionRow(incarnation, address, dataCentre, newState, beat, nonce);
  }
}
