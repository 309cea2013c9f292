package org.masticspread.platform.standin;

/**
 * An executor of {@link EndpointFleet}.
 *
 * @param slots requests it runs at once
 * @param connections calls that it holds open at once
 * @param speed how fast it is; 1 serves in the told time, 2 in half of it
 */
public record ExecutorSpec(int slots, int connections, double speed) {}
