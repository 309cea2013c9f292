package org.masticspread.platform.standin;

/**
 * Specification of an executor of {@link EndpointFleet}.
 *
 * @param slots the maximum number of concurrent requests
 * @param connections the maximum number of open calls
 * @param speed the speed factor; 1 takes the scripted time, 2 takes half of it
 */
public record ExecutorSpec(int slots, int connections, double speed) {}
