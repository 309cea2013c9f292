package org.masticspread.policy.request.internal;

import org.masticspread.model.config.EndpointConfig;

/** The slots, the learned speed and the health of one endpoint. */
final class Backend {
  static final int NOT_OPEN = -1;
  private static final double SPEED_GAIN = 0.1;
  private static final double FAILURE_GAIN = 0.1;

  EndpointConfig config;

  /** The position in the router's list of open endpoints. */
  int position = NOT_OPEN;

  int inFlight;
  int formerHeld;
  int held;
  long formerHeldUntil;
  boolean configured;
  boolean leaving;
  boolean ejected;
  boolean probation;
  int ejections;
  int goodInProbation;
  int failuresInRow;
  long samples;

  /** The part of recent calls that failed. */
  double failed;

  /** Service time relative to the mean of the class, learned. */
  double slowness = 1;

  Backend(EndpointConfig config) {
    this.config = config;
  }

  int limit() {
    return Math.min(config.slots(), config.connections());
  }

  int free() {
    if (leaving || ejected) {
      return 0;
    }
    int most = probation ? 1 : limit();
    int free = most - inFlight - formerHeld - held;
    return Math.max(0, free);
  }

  boolean isUnused() {
    return inFlight == 0 && formerHeld == 0 && held == 0 && !ejected;
  }

  /** Returns the requests it serves while a mean slot serves one. */
  double speed() {
    return limit() / slowness;
  }

  /** Returns how long one more request is expected to take, relative to other endpoints. */
  double score() {
    return slowness * (1 + (inFlight + 1.0) / limit());
  }

  void learnSpeed(double ratio) {
    double gain = Math.max(SPEED_GAIN, 1.0 / (samples + 1));
    slowness += gain * (ratio - slowness);
    slowness = Math.max(slowness, 1e-3);
  }

  void learnHealth(boolean good) {
    samples++;
    failed += FAILURE_GAIN * ((good ? 0 : 1) - failed);
    failuresInRow = good ? 0 : failuresInRow + 1;
  }
}
