package org.masticspread.cell.journal;

/**
 * The newest commit of the leader, stored in the head row.
 *
 * @param epoch the epoch of the leader
 * @param commit the number of the commit, counted from 0 in each epoch
 */
public record HeadRecord(long epoch, long commit) {}
