package org.masticspread.ctl.client;

import java.util.List;
import org.masticspread.model.config.AuditEntry;

/**
 * The audit trail: changes of the configuration, newest first.
 *
 * @param entries the changes
 */
public record AuditTrail(List<AuditEntry> entries) {

  /** Copies the list; a missing list counts as empty. */
  public AuditTrail {
    entries = entries == null ? List.of() : List.copyOf(entries);
  }
}
