package org.masticspread.ctl.output;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.PrintWriter;
import org.masticspread.codec.Mappers;

/** Formats values as JSON or YAML. */
public final class Output {
  private Output() {}

  /**
   * Prints a value as indented JSON.
   *
   * @param out the destination
   * @param value the value
   */
  public static void json(PrintWriter out, Object value) {
    out.println(text(Mappers.json(), value));
  }

  /**
   * Returns a value as YAML.
   *
   * @param value the value
   * @return the text, ending with a newline
   */
  public static String yaml(Object value) {
    return text(Mappers.yaml(), value);
  }

  private static String text(ObjectMapper mapper, Object value) {
    try {
      return mapper.writerWithDefaultPrettyPrinter().writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("cannot be written as text: " + value.getClass(), e);
    }
  }
}
