package org.masticspread.ctl.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.BiFunction;
import java.util.function.Function;
import org.masticspread.model.config.Configuration;
import org.masticspread.model.result.MasticspreadException;

/**
 * A kind of configuration entry, such as teams.
 *
 * @param noun the name of the kind in commands and messages, such as {@code team}
 * @param section the field of the configuration that contains the entries
 * @param read returns the entries of a configuration
 * @param write returns a configuration with the entries replaced
 * @param name returns the name of an entry
 * @param retire retires an entry
 * @param <T> the type of an entry
 */
public record EntityKind<T>(
    String noun,
    String section,
    Function<Configuration, List<T>> read,
    BiFunction<Configuration, List<T>, Configuration> write,
    Function<T, String> name,
    Retire<T> retire) {

  /**
   * An operation that retires an entry.
   *
   * @param <T> the type of an entry
   */
  @FunctionalInterface
  public interface Retire<T> {
    /**
     * Returns the configuration with the entry retired.
     *
     * @param configuration the configuration
     * @param entry the entry
     * @return the configuration after the change
     * @throws MasticspreadException if the entry may not be retired in its present state
     */
    Configuration apply(Configuration configuration, T entry) throws MasticspreadException;
  }

  /**
   * Finds an entry.
   *
   * @param configuration the configuration
   * @param entryName the name
   * @return the entry, or empty if there is no entry of that name
   */
  public Optional<T> find(Configuration configuration, String entryName) {
    return read.apply(configuration).stream()
        .filter(e -> name.apply(e).equals(entryName))
        .findFirst();
  }

  /**
   * Replaces the entry of the same name, or appends the entry if there is none.
   *
   * @param configuration the configuration
   * @param entry the entry
   * @return the configuration after the change
   */
  public Configuration put(Configuration configuration, T entry) {
    List<T> entries = new ArrayList<>(read.apply(configuration));
    int at = indexOf(entries, name.apply(entry));
    if (at < 0) {
      entries.add(entry);
    } else {
      entries.set(at, entry);
    }
    return write.apply(configuration, entries);
  }

  /**
   * Puts each entry of this kind from another configuration into a configuration.
   *
   * @param configuration the configuration
   * @param other the configuration that provides the entries
   * @return the configuration after the change
   */
  public Configuration putAll(Configuration configuration, Configuration other) {
    Configuration merged = configuration;
    for (T entry : read.apply(other)) {
      merged = put(merged, entry);
    }
    return merged;
  }

  private int indexOf(List<T> entries, String entryName) {
    for (int i = 0; i < entries.size(); i++) {
      if (name.apply(entries.get(i)).equals(entryName)) {
        return i;
      }
    }
    return -1;
  }
}
