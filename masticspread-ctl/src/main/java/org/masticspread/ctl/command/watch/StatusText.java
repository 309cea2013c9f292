package org.masticspread.ctl.command.watch;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/** Writes parts of a node's state as short text. */
final class StatusText {
  private StatusText() {}

  static String of(JsonNode part) {
    if (part == null || part.isNull() || part.isMissingNode()) {
      return "-";
    }
    if (part.isValueNode()) {
      return part.asText();
    }
    List<String> texts = new ArrayList<>();
    if (part.isArray()) {
      part.forEach(p -> texts.add(of(p)));
      return String.join(" ", texts);
    }
    part.properties().forEach(p -> texts.add(p.getKey() + "=" + of(p.getValue())));
    return String.join(" ", texts);
  }

  static int count(JsonNode part) {
    return part == null ? 0 : part.size();
  }
}
