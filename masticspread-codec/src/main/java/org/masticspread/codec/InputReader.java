package org.masticspread.codec;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.exc.UnrecognizedPropertyException;
import java.io.IOException;
import java.util.stream.Collectors;
import org.masticspread.model.result.InvalidFieldException;

/**
 * Reads JSON and YAML input and reports the field of an error.
 *
 * <p>Example: {@code InputReader.json().read(bytes, JobInput.class)}.
 */
public final class InputReader {
  private static final InputReader JSON = new InputReader(Mappers.json(), "JSON");
  private static final InputReader YAML = new InputReader(Mappers.yaml(), "YAML");

  private final ObjectMapper mapper;
  private final String format;

  private InputReader(ObjectMapper mapper, String format) {
    this.mapper = mapper;
    this.format = format;
  }

  /**
   * Returns the reader for JSON.
   *
   * @return the shared reader
   */
  public static InputReader json() {
    return JSON;
  }

  /**
   * Returns the reader for YAML.
   *
   * @return the shared reader
   */
  public static InputReader yaml() {
    return YAML;
  }

  /**
   * Reads a value.
   *
   * @param bytes the text, encoded in UTF-8
   * @param type the type of the value
   * @param <T> the type of the value
   * @return the value, never null
   * @throws InvalidFieldException if the text is malformed, a field is unknown or a value is
   *     invalid; the exception contains the field
   */
  public <T> T read(byte[] bytes, Class<T> type) throws InvalidFieldException {
    try {
      T value = mapper.readValue(bytes, type);
      if (value == null) {
        throw new InvalidFieldException("body", "null", "a " + format + " object");
      }
      return value;
    } catch (UnrecognizedPropertyException e) {
      String known =
          e.getKnownPropertyIds().stream().map(String::valueOf).sorted().toList().toString();
      throw new InvalidFieldException(path(e), "unknown field", "one of " + known);
    } catch (JsonMappingException e) {
      throw new InvalidFieldException(path(e), reason(e), "a valid value of this field");
    } catch (JsonProcessingException e) {
      throw new InvalidFieldException("body", reason(e), "well-formed " + format);
    } catch (IOException e) {
      throw new InvalidFieldException("body", String.valueOf(e.getMessage()), "readable bytes");
    }
  }

  private static String reason(JsonProcessingException e) {
    Throwable cause = e.getCause();
    return cause instanceof IllegalArgumentException ? cause.getMessage() : e.getOriginalMessage();
  }

  private static String path(JsonMappingException e) {
    String path =
        e.getPath().stream()
            .map(r -> r.getFieldName() == null ? "[" + r.getIndex() + "]" : "." + r.getFieldName())
            .collect(Collectors.joining());
    if (path.isEmpty()) {
      return "body";
    }
    return path.startsWith(".") ? path.substring(1) : path;
  }
}
