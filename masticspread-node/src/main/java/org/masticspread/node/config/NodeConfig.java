package org.masticspread.node.config;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;
import org.masticspread.model.config.AuditEntry;
import org.masticspread.model.config.Configuration;
import org.masticspread.model.id.VmId;
import org.masticspread.model.peer.ConfigFetched;
import org.masticspread.model.peer.FetchConfig;
import org.masticspread.model.result.InvalidFieldException;
import org.masticspread.model.result.MasticspreadException;
import org.masticspread.model.result.ResultCode;
import org.masticspread.node.api.ConfigService;
import org.masticspread.node.member.Members;
import org.masticspread.node.member.PeerCalls;
import org.masticspread.state.config.ConfigFollower;
import org.masticspread.state.config.ConfigLog;
import org.masticspread.state.config.ConfigValidator;

/**
 * Configuration of this VM: follows the revision log in the store and fetches newer revisions from
 * peers.
 *
 * <p>Example: {@code config.poll()} and {@code config.fetch(members, calls)} at each interval.
 */
public final class NodeConfig implements ConfigService {
  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
  private static final Duration FETCH_TIMEOUT = Duration.ofSeconds(2);

  private final ConfigLog log;
  private final ConfigFollower follower;

  /**
   * Creates the configuration, empty until the first poll or fetch.
   *
   * @param log the revision log
   */
  public NodeConfig(ConfigLog log) {
    this.log = log;
    this.follower = new ConfigFollower(log);
  }

  /**
   * Adds a listener for each revision that comes into force.
   *
   * @param listener the listener that receives the configuration
   */
  public void onChange(Consumer<Configuration> listener) {
    follower.onChange(listener);
  }

  /** Reads the head of the log. A store failure is logged; the next poll tries again. */
  public void poll() {
    try {
      if (follower.poll()) {
        LOG.atInfo().log("config: revision %d in force", follower.inForce().revision());
      }
    } catch (MasticspreadException e) {
      LOG.atWarning().log("config: poll failed: %s", e.getMessage());
    }
  }

  /**
   * Fetches a newer revision from a peer that reports one.
   *
   * @param members the members with the revisions that they report
   * @param calls the calls to peers
   */
  public void fetch(Members members, PeerCalls calls) {
    long ownRevision = follower.inForce().revision();
    members.fresh().stream()
        .filter(d -> d.configRevision() > ownRevision)
        .findFirst()
        .ifPresent(d -> fetchFrom(d.from().vm(), calls));
  }

  private void fetchFrom(VmId vm, PeerCalls calls) {
    FetchConfig message = new FetchConfig(follower.inForce().revision());
    calls
        .call(vm, message, ConfigFetched.class, FETCH_TIMEOUT)
        .whenComplete(
            (fetched, thrown) -> {
              boolean newer = thrown == null && fetched.configuration() != null;
              if (newer && follower.offer(fetched.configuration())) {
                LOG.atInfo().log(
                    "config: revision %d in force, fetched from %s", inForce().revision(), vm);
              }
            });
  }

  /**
   * Answers the request of a peer for a newer revision.
   *
   * @param message the revision that the peer has
   * @return the configuration in force if it is newer, otherwise no configuration
   */
  public ConfigFetched answer(FetchConfig message) {
    Configuration current = inForce();
    return new ConfigFetched(current.revision() > message.newerThan() ? current : null);
  }

  @Override
  public Configuration inForce() {
    return follower.inForce();
  }

  @Override
  public Configuration revision(long revision) throws MasticspreadException {
    if (revision > log.head()) {
      throw new MasticspreadException(ResultCode.NOT_FOUND, "n: there is no revision " + revision);
    }
    return log.revision(revision);
  }

  @Override
  public List<Problem> problems(Configuration configuration) {
    return ConfigValidator.validate(configuration).stream()
        .map(p -> new Problem(p.field(), p.message()))
        .toList();
  }

  @Override
  public long apply(long expectedRevision, Configuration configuration, String who, String what)
      throws MasticspreadException {
    List<Problem> problems = problems(configuration);
    if (!problems.isEmpty()) {
      Problem first = problems.get(0);
      throw new InvalidFieldException(
          first.field(), first.message(), "a configuration without problems; see validate");
    }
    long revision = log.apply(expectedRevision, configuration, who, what);
    follower.offer(configuration.withRevision(revision));
    return revision;
  }

  @Override
  public List<AuditEntry> audit(int limit) throws MasticspreadException {
    return log.history(limit);
  }
}
