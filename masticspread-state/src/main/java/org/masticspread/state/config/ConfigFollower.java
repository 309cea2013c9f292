package org.masticspread.state.config;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.masticspread.model.config.Configuration;
import org.masticspread.model.platform.StoreException;
import org.masticspread.state.format.RecordFormatException;

/**
 * Holds the configuration in force on this VM. Its revision only rises, whatever the store or a
 * peer offers.
 *
 * <p>Example: {@code follower.offer(fetchedFromPeer)} and {@code follower.poll()} at each interval.
 * Thread-safe; listeners are called one after another in the order of revisions.
 */
public final class ConfigFollower {
  private final ConfigLog log;
  private final List<Consumer<Configuration>> listeners = new CopyOnWriteArrayList<>();
  private final Object offering = new Object();
  private volatile Configuration inForce = Configuration.EMPTY;

  /**
   * Creates a follower that starts with the empty configuration.
   *
   * @param log the log to poll
   */
  public ConfigFollower(ConfigLog log) {
    this.log = log;
  }

  /**
   * Adds a listener for each revision that comes into force.
   *
   * @param listener gets the configuration; must not block
   */
  public void onChange(Consumer<Configuration> listener) {
    listeners.add(listener);
  }

  /**
   * Puts a configuration into force if its revision is higher.
   *
   * @param offered a configuration from the log or from a peer
   * @return whether it came into force
   */
  public boolean offer(Configuration offered) {
    synchronized (offering) {
      if (offered.revision() <= inForce.revision()) {
        return false;
      }
      inForce = offered;
      listeners.forEach(listener -> listener.accept(offered));
      return true;
    }
  }

  /**
   * Reads the head of the log, and the latest revision if it is new. Costs one read, or two when
   * there is a new revision.
   *
   * @return whether a new revision came into force
   * @throws StoreException if the store does not answer
   * @throws RecordFormatException if a row can't be read
   */
  public boolean poll() throws StoreException, RecordFormatException {
    long head = log.head();
    if (head <= inForce.revision()) {
      return false;
    }
    return offer(log.revision(head));
  }

  /**
   * Returns the configuration in force.
   *
   * @return the configuration
   */
  public Configuration inForce() {
    return inForce;
  }
}
