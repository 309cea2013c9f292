package org.masticspread.codec;

import com.fasterxml.jackson.annotation.JsonAutoDetect;
import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.PropertyAccessor;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import com.fasterxml.jackson.dataformat.yaml.YAMLGenerator;
import com.fasterxml.jackson.datatype.jsr310.JavaTimeModule;
import org.masticspread.codec.internal.IdModule;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * The shared Jackson mappers for the records of the model.
 *
 * <p>Example: {@code Mappers.json().writeValueAsString(configuration)}. The mappers must not be
 * reconfigured.
 */
public final class Mappers {
  private static final ObjectMapper JSON = strict(new ObjectMapper());
  private static final ObjectMapper YAML =
      strict(
          new ObjectMapper(
              new YAMLFactory()
                  .enable(YAMLGenerator.Feature.MINIMIZE_QUOTES)
                  .disable(YAMLGenerator.Feature.WRITE_DOC_START_MARKER)));
  private static final ObjectMapper MESSAGE_PACK = lenient(new MessagePackFactory());

  private Mappers() {}

  /**
   * Returns the mapper for JSON. Unknown fields are errors; times are written in ISO 8601.
   *
   * @return the shared mapper
   */
  public static ObjectMapper json() {
    return JSON;
  }

  /**
   * Returns the mapper for YAML. Unknown fields are errors; times are written in ISO 8601.
   *
   * @return the shared mapper
   */
  public static ObjectMapper yaml() {
    return YAML;
  }

  /**
   * Returns the mapper for MessagePack. Unknown fields are skipped, so that a VM of an older
   * version can read the messages of a newer one.
   *
   * @return the shared mapper
   */
  public static ObjectMapper messagePack() {
    return MESSAGE_PACK;
  }

  private static ObjectMapper strict(ObjectMapper mapper) {
    return configureCommon(mapper)
        .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
        .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
        .enable(DeserializationFeature.FAIL_ON_READING_DUP_TREE_KEY)
        .disable(DeserializationFeature.ACCEPT_FLOAT_AS_INT);
  }

  private static ObjectMapper lenient(JsonFactory factory) {
    return configureCommon(new ObjectMapper(factory))
        .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
  }

  private static ObjectMapper configureCommon(ObjectMapper mapper) {
    mapper.setVisibility(PropertyAccessor.ALL, JsonAutoDetect.Visibility.NONE);
    mapper.setVisibility(PropertyAccessor.FIELD, JsonAutoDetect.Visibility.ANY);
    mapper.setVisibility(PropertyAccessor.CREATOR, JsonAutoDetect.Visibility.ANY);
    return mapper
        .registerModule(new JavaTimeModule())
        .registerModule(new IdModule())
        .setDefaultPropertyInclusion(JsonInclude.Include.NON_NULL)
        .disable(SerializationFeature.WRITE_DATES_AS_TIMESTAMPS)
        .disable(SerializationFeature.WRITE_DURATIONS_AS_TIMESTAMPS);
  }
}
