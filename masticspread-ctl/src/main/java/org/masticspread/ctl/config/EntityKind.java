package org.masticspread.ctl.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.BiFunction;
import java.util.function.Function;
import org.masticspread.model.config.Configuration;
import org.masticspread.model.result.MasticspreadException;

/**
 * One kind of entries of the configuration, such as teams.
 *
 * @param noun how one entry is called
 * @param section the field of the configuration that holds them
 * @param read reads the entries
 * @param write replaces the entries
 * @param name names an entry
 * @param retire takes an entry out of service
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
   * Takes an entry out of service.
   *
   * @param <T> the type of an entry
   */
  @FunctionalInterface
  public interface Retire<T> {
    /**
     * Returns the configuration without the entry in service.
     *
     * @param configuration the configuration
     * @param entry the entry
     * @return the configuration after the change
     * @throws MasticspreadException if the entry may not be retired now
     */
    Configuration apply(Configuration configuration, T entry) throws MasticspreadException;
  }

  /**
   * Finds an entry.
   *
   * @param configuration the configuration
   * @param entryName the name
   * @return the entry, or empty if there is none of that name
   */
  public Optional<T> find(Configuration configuration, String entryName) {
    return read.apply(configuration).stream()
        .filter(e -> name.apply(e).equals(entryName))
        .findFirst();
  }

  /**
   * Puts an entry in place of that of the same name, or at the end.
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
   * Puts all entries of another configuration.
   *
   * @param configuration the configuration
   * @param other the configuration with the entries to put
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
