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
 * One structured line of a process.
 *
 * @param at when it was written, by that process
 * @param vm the process
 * @param event what happened
 * @param id what it is about
 * @param facts what decided it
 */
public record LogLine(Instant at, String vm, String event, String id, Map<String, String> facts) {
  private static final ObjectMapper JSON = new ObjectMapper();

  /** Copies the map. */
  public LogLine {
    facts = Map.copyOf(facts);
  }

  /**
   * Reads a line; what stands before its first brace is ignored.
   *
   * @param text the text
   * @return the line, or empty if it is none of these
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
      // A line that was cut when its process ended; the other lines still tell the story.
      return Optional.empty();
    }
  }

  private static Map<String, String> facts(JsonNode json) {
    List<Map.Entry<String, String>> facts = new ArrayList<>();
    Iterator<Map.Entry<String, JsonNode>> fields = json.fields();
    while (fields.hasNext()) {
      Map.Entry<String, JsonNode> field = fields.next();
      boolean head = List.of("at", "vm", "event", "id").contains(field.getKey());
      if (!head) {
        facts.add(Map.entry(field.getKey(), field.getValue().asText()));
      }
    }
    return facts.stream().collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
  }

  /**
   * Tells whether the line is about a job or one of its steps or tasks.
   *
   * @param job the job's id
   * @return whether it is
   */
  public boolean about(String job) {
    return id.equals(job) || id.startsWith(job + ".");
  }

  /**
   * Returns a fact.
   *
   * @param name its name
   * @return its value; empty if the line has none
   */
  public String fact(String name) {
    return facts.getOrDefault(name, "");
  }
}
