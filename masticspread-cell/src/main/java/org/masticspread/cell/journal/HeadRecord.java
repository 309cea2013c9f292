package org.masticspread.cell.journal;

/**
 * The newest commit of the leader.
 *
 * @param epoch the epoch of the leader
 * @param commit counts its commits
 */
public record HeadRecord(long epoch, long commit) {}
