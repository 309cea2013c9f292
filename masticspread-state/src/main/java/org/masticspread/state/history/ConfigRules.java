package org.masticspread.state.history;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.masticspread.model.id.VmId;
import org.masticspread.state.history.Violation.Guarantee;

/** Checks the guarantee for the configuration: the active revision on a VM never decreases. */
final class ConfigRules {
  private final Map<VmId, Long> inForce = new HashMap<>();
  private final List<Violation> violations = new ArrayList<>();

  void add(HistoryEvent event) {
    if (!(event instanceof HistoryEvent.ConfigInForce change)) {
      return;
    }
    Long before = inForce.put(change.vm(), change.revision());
    if (before != null && before > change.revision()) {
      String detail = "revision " + change.revision() + " became active after " + before;
      violations.add(new Violation(Guarantee.CONFIG_MONOTONIC, change.vm().toString(), detail));
    }
  }

  List<Violation> violations() {
    return violations;
  }
}
