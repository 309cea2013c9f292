package org.masticspread.policy.request.internal;

import org.masticspread.model.config.EndpointConfig;

/** Tracks the slots, the measured speed and the health of one endpoint. */
final class Backend {
  static final int NOT_AVAILABLE = -1;
  private static final double SPEED_GAIN = 0.1;
  private static final double FAILURE_GAIN = 0.1;

  EndpointConfig config;

  /** The index in the router's list of available endpoints. */
  int position = NOT_AVAILABLE;

  int inFlight;
  int heldByFormerHome;
  int held;
  long formerHomeHoldUntil;
  boolean configured;
  boolean leaving;
  boolean ejected;
  boolean probation;
  int ejections;
  int probationSuccesses;
  int consecutiveFailures;
  long samples;

  /** The exponentially weighted fraction of calls that failed. */
  double failureRate;

  /** The measured service time relative to the mean of the work class. */
  double slowness = 1;

  Backend(EndpointConfig config) {
    this.config = config;
  }

  int maxInFlight() {
    return Math.min(config.slots(), config.connections());
  }

  int free() {
    if (leaving || ejected) {
      return 0;
    }
    int limit = probation ? 1 : maxInFlight();
    int free = limit - inFlight - heldByFormerHome - held;
    return Math.max(0, free);
  }

  boolean isUnused() {
    return inFlight == 0 && heldByFormerHome == 0 && held == 0 && !ejected;
  }

  /** Returns the number of requests it serves in the time an average slot serves one. */
  double speed() {
    return maxInFlight() / slowness;
  }

  /** Returns the expected duration of one more request, relative to other endpoints. */
  double score() {
    return slowness * (1 + (inFlight + 1.0) / maxInFlight());
  }

  void learnSpeed(double ratio) {
    double gain = Math.max(SPEED_GAIN, 1.0 / (samples + 1));
    slowness += gain * (ratio - slowness);
    slowness = Math.max(slowness, 1e-3);
  }

  void learnHealth(boolean success) {
    samples++;
    failureRate += FAILURE_GAIN * ((success ? 0 : 1) - failureRate);
    consecutiveFailures = success ? 0 : consecutiveFailures + 1;
  }
}
