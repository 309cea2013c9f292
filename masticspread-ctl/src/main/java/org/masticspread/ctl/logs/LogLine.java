package org.masticspread.ctl.logs;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * A structured log line of a process.
 *
 * @param at the time of the event by the clock of that process
 * @param vm the VM that wrote the line
 * @param event the name of the event
 * @param id the id of the job, task, worker or other subject of the event
 * @param facts the other fields of the line, by name
 */
public record LogLine(Instant at, String vm, String event, String id, Map<String, String> facts) {
  private static final ObjectMapper JSON = new ObjectMapper();

  /** Copies the map. */
  public LogLine {
    facts = Map.copyOf(facts);
  }

  /**
   * Parses a line, ignoring any text before its first brace.
   *
   * @param text the text
   * @return the line, or empty if it is not a structured log line
   */
  public static Optional<LogLine> read(String text) {
    int brace = text.indexOf('{');
    if (brace < 0) {
      return Optional.empty();
    }
    try {
      JsonNode json = JSON.readTree(text.substring(brace));
      if (!json.path("event").isTextual() || !json.path("at").isTextual()) {
        return Optional.empty();
      }
      return Optional.of(
          new LogLine(
              Instant.parse(json.path("at").asText()),
              json.path("vm").asText(),
              json.path("event").asText(),
              json.path("id").asText(),
              facts(json)));
    } catch (IOException | DateTimeParseException e) {
      // The line was truncated when its process ended; the other lines are still usable.
      return Optional.empty();
    }
  }

  private static Map<String, String> facts(JsonNode json) {
    List<Map.Entry<String, String>> facts = new ArrayList<>();
    Iterator<Map.Entry<String, JsonNode>> fields = json.fields();
    while (fields.hasNext()) {
      Map.Entry<String, JsonNode> field = fields.next();
      boolean standardField = List.of("at", "vm", "event", "id").contains(field.getKey());
      if (!standardField) {
        facts.add(Map.entry(field.getKey(), field.getValue().asText()));
      }
    }
    return facts.stream().collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
  }

  /**
   * Returns whether the line is about a job or one of its steps or tasks.
   *
   * @param job the job's id
   * @return true if it is
   */
  public boolean isAbout(String job) {
    return id.equals(job) || id.startsWith(job + ".");
  }

  /**
   * Returns the value of a fact.
   *
   * @param name the name of the fact
   * @return its value; empty if the line has no such fact
   */
  public String fact(String name) {
    return facts.getOrDefault(name, "");
  }
}
