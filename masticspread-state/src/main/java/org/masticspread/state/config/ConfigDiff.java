package org.masticspread.state.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.masticspread.codec.Mappers;
import org.masticspread.model.config.Configuration;

/** The part of a configuration that differs from another one, as JSON by section. */
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
   * Returns what one configuration has and the other has not.
   *
   * @param from the configuration to describe
   * @param other the configuration to leave out
   * @return JSON, or an empty text if there is nothing
   */
  static String only(Configuration from, Configuration other) {
    Map<String, List<?>> parts = new LinkedHashMap<>();
    SECTIONS.forEach(
        (name, section) -> {
          List<Object> left = new ArrayList<>(section.apply(from));
          left.removeAll(section.apply(other));
          if (!left.isEmpty()) {
            parts.put(name, left);
          }
        });
    return parts.isEmpty() ? "" : json(parts);
  }

  private static String json(Object value) {
    try {
      return Mappers.json().writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("configuration can't be written", e);
    }
  }
}
