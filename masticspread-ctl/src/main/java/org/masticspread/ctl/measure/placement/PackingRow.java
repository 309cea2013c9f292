package org.masticspread.ctl.measure.placement;

/**
 * The result of packing one cell with one strategy.
 *
 * @param policy the strategy
 * @param deployment the cell
 * @param scenario the pattern in which tasks arrive and end
 * @param allocated the allocated share of the scarcest resource at the first refusal
 * @param largestGang the maximum number of tasks of a gang that fit when four fifths are allocated
 */
public record PackingRow(
    String policy, String deployment, String scenario, double allocated, int largestGang) {}
