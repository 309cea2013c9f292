package org.masticspread.model.id;

/** An identifier that is written as its plain text in JSON, YAML and MessagePack. */
public interface Id {
  /**
   * Returns the text of the identifier.
   *
   * @return the text, a valid name by {@link Names#RULE}
   */
  String value();
}
