package org.masticspread.cell.journal;

/**
 * Names the VM that leads the cell.
 *
 * @param vm the VM
 * @param life the incarnation of its process
 * @param epoch rises with each change of the leader; also the fencing token at the workers
 */
public record LeaderRecord(String vm, String life, long epoch) {}
