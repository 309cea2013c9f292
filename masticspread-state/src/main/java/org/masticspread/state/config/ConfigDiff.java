package org.masticspread.state.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.masticspread.codec.Mappers;
import org.masticspread.model.config.Configuration;

/** Computes the elements of a configuration that another one lacks, as JSON grouped by section. */
final class ConfigDiff {
  private static final Map<String, Function<Configuration, List<?>>> SECTIONS = sections();

  private ConfigDiff() {}

  private static Map<String, Function<Configuration, List<?>>> sections() {
    Map<String, Function<Configuration, List<?>>> sections = new LinkedHashMap<>();
    sections.put("pools", Configuration::pools);
    sections.put("teams", Configuration::teams);
    sections.put("workClasses", Configuration::workClasses);
    sections.put("endpoints", Configuration::endpoints);
    sections.put("workers", Configuration::workers);
    return sections;
  }

  /**
   * Returns the elements that one configuration contains and the other does not.
   *
   * @param from the configuration to describe
   * @param other the configuration whose elements are left out
   * @return JSON, or an empty string if there are no such elements
   */
  static String onlyIn(Configuration from, Configuration other) {
    Map<String, List<?>> parts = new LinkedHashMap<>();
    SECTIONS.forEach(
        (name, section) -> {
          List<Object> difference = new ArrayList<>(section.apply(from));
          difference.removeAll(section.apply(other));
          if (!difference.isEmpty()) {
            parts.put(name, difference);
          }
        });
    return parts.isEmpty() ? "" : json(parts);
  }

  private static String json(Object value) {
    try {
      return Mappers.json().writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("configuration can't be serialized", e);
    }
  }
}
