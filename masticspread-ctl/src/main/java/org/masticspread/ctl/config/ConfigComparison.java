package org.masticspread.ctl.config;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.masticspread.codec.Mappers;
import org.masticspread.model.config.Configuration;

/**
 * A comparison of two configurations entry by entry, ignoring the order of entries and the
 * revision.
 *
 * <p>Example: {@code ConfigComparison.changes(inForce, file)}.
 */
public final class ConfigComparison {
  private ConfigComparison() {}

  /**
   * One difference.
   *
   * @param kind the kind of entry, such as {@code team}
   * @param entry the name of the entry
   * @param field the field; empty if the whole entry was added or removed
   * @param before the previous value as JSON; empty if there was none
   * @param after the new value as JSON; empty if there is none
   */
  public record Change(String kind, String entry, String field, String before, String after) {
    @Override
    public String toString() {
      String subject = kind + " " + entry;
      if (!field.isEmpty()) {
        return "~ " + subject + ": " + field + " " + orNone(before) + " -> " + orNone(after);
      }
      return before.isEmpty() ? "+ " + subject + " " + after : "- " + subject + " " + before;
    }

    private static String orNone(String value) {
      return value.isEmpty() ? "(none)" : value;
    }
  }

  /**
   * Returns the differences between two configurations.
   *
   * @param before the previous configuration
   * @param after the new configuration
   * @return the differences, ordered by kind and name
   */
  public static List<Change> changes(Configuration before, Configuration after) {
    List<Change> changes = new ArrayList<>();
    EntityKinds.ALL.forEach(kind -> compare(kind, before, after, changes));
    return changes;
  }

  private static <T> void compare(
      EntityKind<T> kind, Configuration before, Configuration after, List<Change> changes) {
    Map<String, JsonNode> old = byName(kind, before);
    Map<String, JsonNode> now = byName(kind, after);
    TreeSet<String> names = new TreeSet<>(old.keySet());
    names.addAll(now.keySet());
    for (String name : names) {
      JsonNode was = old.get(name);
      JsonNode is = now.get(name);
      if (was == null || is == null) {
        changes.add(new Change(kind.noun(), name, "", text(was), text(is)));
      } else {
        compareFields(kind.noun(), name, was, is, changes);
      }
    }
  }

  private static void compareFields(
      String noun, String name, JsonNode was, JsonNode is, List<Change> changes) {
    TreeSet<String> fields = new TreeSet<>();
    was.fieldNames().forEachRemaining(fields::add);
    is.fieldNames().forEachRemaining(fields::add);
    for (String field : fields) {
      String old = text(was.get(field));
      String now = text(is.get(field));
      if (!old.equals(now)) {
        changes.add(new Change(noun, name, field, old, now));
      }
    }
  }

  private static <T> Map<String, JsonNode> byName(EntityKind<T> kind, Configuration configuration) {
    Map<String, JsonNode> entries = new LinkedHashMap<>();
    for (T entry : kind.read().apply(configuration)) {
      entries.put(kind.name().apply(entry), Mappers.json().valueToTree(entry));
    }
    return entries;
  }

  private static String text(JsonNode node) {
    return node == null ? "" : node.toString();
  }
}
