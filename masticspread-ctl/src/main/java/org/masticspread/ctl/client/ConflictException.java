package org.masticspread.ctl.client;

import java.util.Optional;
import org.masticspread.model.config.AuditEntry;
import org.masticspread.model.result.ResultCode;

/** Another change of the configuration came first; nothing of this one was made. */
public final class ConflictException extends ApiException {
  private static final long serialVersionUID = 1L;

  private final transient AuditEntry first;

  ConflictException(String message, AuditEntry first) {
    super(ResultCode.CONFLICT, message);
    this.first = first;
  }

  /**
   * Returns the change that came first.
   *
   * @return its audit entry, or empty when the node did not tell
   */
  public Optional<AuditEntry> first() {
    return Optional.ofNullable(first);
  }
}
