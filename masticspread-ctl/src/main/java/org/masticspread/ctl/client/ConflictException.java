package org.masticspread.ctl.client;

import java.util.Optional;
import org.masticspread.model.config.AuditEntry;
import org.masticspread.model.result.ResultCode;

/** An error that tells that the configuration was changed concurrently; nothing was applied. */
public final class ConflictException extends ApiException {
  private static final long serialVersionUID = 1L;

  private final transient AuditEntry conflictingChange;

  ConflictException(String message, AuditEntry conflictingChange) {
    super(ResultCode.CONFLICT, message);
    this.conflictingChange = conflictingChange;
  }

  /**
   * Returns the conflicting change.
   *
   * @return its audit entry, or empty if the node did not send it
   */
  public Optional<AuditEntry> conflictingChange() {
    return Optional.ofNullable(conflictingChange);
  }
}
