package org.masticspread.state.config;

import java.util.List;
import org.masticspread.model.config.AuditEntry;
import org.masticspread.model.result.MasticspreadException;
import org.masticspread.model.result.ResultCode;

/** A change of the configuration that came second; nothing was changed. */
public final class ConflictException extends MasticspreadException {
  private static final long serialVersionUID = 1L;

  private final transient List<AuditEntry> first;

  /**
   * Creates an error.
   *
   * @param expectedRevision the revision that the change was made against
   * @param first the changes that came first, oldest first
   */
  public ConflictException(long expectedRevision, List<AuditEntry> first) {
    super(ResultCode.CONFLICT, "revision " + expectedRevision + " is not the latest any more");
    this.first = List.copyOf(first);
  }

  /**
   * Returns the changes that came first.
   *
   * @return the audit entries, oldest first; empty if the expected revision does not exist yet
   */
  public List<AuditEntry> first() {
    return first;
  }
}
