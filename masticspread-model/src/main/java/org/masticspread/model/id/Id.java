package org.masticspread.model.id;

/** An identifier that is serialized as plain text in JSON, YAML and MessagePack. */
public interface Id {
  /**
   * Returns the text of the identifier.
   *
   * @return the text, a valid name according to {@link Names#RULE}
   */
  String value();
}
