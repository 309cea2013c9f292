package org.masticspread.ctl.measure.placement;

/**
 * How well one strategy packs one cell.
 *
 * @param policy the strategy
 * @param deployment the cell
 * @param scenario how the tasks arrive and end
 * @param allocated the share of the binding resource that is taken at the first refusal
 * @param largestGang the most tasks of a gang that fit when four fifths are taken
 */
public record PackingRow(
    String policy, String deployment, String scenario, double allocated, int largestGang) {}
