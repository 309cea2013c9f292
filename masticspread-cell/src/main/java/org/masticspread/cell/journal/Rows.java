package org.masticspread.cell.journal;

import java.io.IOException;
import java.io.UncheckedIOException;
import org.masticspread.cell.port.TableCommit.RowName;
import org.masticspread.codec.Mappers;
import org.masticspread.model.result.InvalidFieldException;

/**
 * The tables, parts and rows that a cell keeps in the store, and their encoding in MessagePack.
 *
 * <p>All rows that the leader writes share one part, so that each commit can be conditional on the
 * leader row.
 */
public final class Rows {
  /** The part of all rows that the leader writes. */
  public static final String PART = "main";

  /** The part of the rows of VMs, separate from the commits of the leader. */
  public static final String VM_PART = "vms";

  /** The part of the check row, separate so that checks do not delay other writes. */
  public static final String CHECK_PART = "checks";

  /** Holds the leader row, which every VM follows. */
  public static final String LEADER_TABLE = "leader";

  /** Holds the head row, which counts the commits of the leader. */
  public static final String HEAD_TABLE = "head";

  /** Holds a row for each VM. */
  public static final String VM_TABLE = "vms";

  /** Holds the orders of the accepted jobs. */
  public static final String JOB_TABLE = "jobs";

  /** Holds the progress of the accepted jobs. */
  public static final String PROGRESS_TABLE = "progress";

  /** Holds the final states of ended jobs that can still be shown. */
  public static final String ENDED_TABLE = "ended";

  /** Holds the workers on which a leader may have started tasks, in a few rows. */
  public static final String USED_WORKER_TABLE = "used-workers";

  /** Holds the rules of the queues that have accepted jobs. */
  public static final String QUEUE_TABLE = "queues";

  /** Holds the caps of the teams that have accepted jobs. */
  public static final String TEAM_TABLE = "teams";

  /** The row that names the leader. */
  public static final RowName LEADER = new RowName(LEADER_TABLE, "leader");

  /** The row that VMs write to check whether they reach the store. */
  public static final RowName CHECK = new RowName("checks", "check");

  /** The row that counts the commits of the leader. */
  public static final RowName HEAD = new RowName(HEAD_TABLE, "head");

  private Rows() {}

  /**
   * Encodes a record.
   *
   * @param content the record
   * @return its bytes
   */
  public static byte[] encode(Object content) {
    try {
      return Mappers.messagePack().writeValueAsBytes(content);
    } catch (IOException e) {
      throw new UncheckedIOException("cannot encode " + content.getClass().getSimpleName(), e);
    }
  }

  /**
   * Decodes a record.
   *
   * @param <T> the type of the record
   * @param type the type of the record
   * @param bytes its encoded form
   * @return the record
   * @throws InvalidFieldException if the bytes are not an encoded record of the type
   */
  public static <T> T decode(Class<T> type, byte[] bytes) throws InvalidFieldException {
    try {
      T record = Mappers.messagePack().readValue(bytes, type);
      if (record != null) {
        return record;
      }
    } catch (IOException e) {
      throw new InvalidFieldException(type.getSimpleName(), e.getMessage(), "MessagePack");
    }
    throw new InvalidFieldException(type.getSimpleName(), "null", "a record");
  }
}
