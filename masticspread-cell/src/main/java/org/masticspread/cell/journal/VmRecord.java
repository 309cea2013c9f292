package org.masticspread.cell.journal;

/**
 * A VM that can lead the cell.
 *
 * @param vm its name
 * @param life the incarnation of its process
 * @param address where its peers reach it, host and port
 * @param strength its processor speed, for the choice of the leader
 * @param dataCentre where it is
 */
public record VmRecord(
    String vm, String life, String address, double strength, String dataCentre) {}
