package org.masticspread.state.config;

import java.util.List;
import org.masticspread.model.config.AuditEntry;
import org.masticspread.model.result.MasticspreadException;
import org.masticspread.model.result.ResultCode;

/**
 * A configuration change was rejected because another change was made first. Nothing was written.
 */
public final class ConflictException extends MasticspreadException {
  private static final long serialVersionUID = 1L;

  private final transient List<AuditEntry> earlierChanges;

  /**
   * Creates an exception.
   *
   * @param expectedRevision the revision that the rejected change was based on
   * @param earlierChanges the changes made since that revision, oldest first
   */
  public ConflictException(long expectedRevision, List<AuditEntry> earlierChanges) {
    super(ResultCode.CONFLICT, "revision " + expectedRevision + " is not the latest any more");
    this.earlierChanges = List.copyOf(earlierChanges);
  }

  /**
   * Returns the changes made since the expected revision.
   *
   * @return the audit entries, oldest first; empty if the expected revision does not exist yet
   */
  public List<AuditEntry> earlierChanges() {
    return earlierChanges;
  }
}
