package org.masticspread.state.config;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.masticspread.model.config.Configuration;
import org.masticspread.model.platform.StoreException;
import org.masticspread.state.format.RecordFormatException;

/**
 * Holds the active configuration of this VM. Its revision never decreases, whatever the store or a
 * peer offers.
 *
 * <p>Example: {@code follower.offer(fetchedFromPeer)} and {@code follower.poll()} at each interval.
 * Thread-safe; listeners are called serially in the order of revisions.
 */
public final class ConfigFollower {
  private final ConfigLog log;
  private final List<Consumer<Configuration>> listeners = new CopyOnWriteArrayList<>();
  private final Object offerLock = new Object();
  private volatile Configuration inForce = Configuration.EMPTY;

  /**
   * Creates a follower whose active configuration is empty.
   *
   * @param log the log to poll
   */
  public ConfigFollower(ConfigLog log) {
    this.log = log;
  }

  /**
   * Adds a listener that is called for each revision that becomes active.
   *
   * @param listener receives the configuration; must not block
   */
  public void onChange(Consumer<Configuration> listener) {
    listeners.add(listener);
  }

  /**
   * Activates a configuration if its revision is higher than the active one.
   *
   * @param offered a configuration from the log or from a peer
   * @return whether it became active
   */
  public boolean offer(Configuration offered) {
    synchronized (offerLock) {
      if (offered.revision() <= inForce.revision()) {
        return false;
      }
      inForce = offered;
      listeners.forEach(listener -> listener.accept(offered));
      return true;
    }
  }

  /**
   * Reads the head of the log, and the latest revision if it is new. Costs one read, or two if
   * there is a new revision.
   *
   * @return whether a new revision became active
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
   * Returns the active configuration.
   *
   * @return the configuration
   */
  public Configuration inForce() {
    return inForce;
  }
}
