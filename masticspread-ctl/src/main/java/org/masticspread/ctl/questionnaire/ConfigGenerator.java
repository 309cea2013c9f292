package org.masticspread.ctl.questionnaire;

import java.math.BigDecimal;
import java.math.MathContext;
import java.math.RoundingMode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.masticspread.ctl.config.ConfigFile;
import org.masticspread.ctl.questionnaire.Answers.Work;
import org.masticspread.model.config.Configuration;
import org.masticspread.model.config.TeamConfig;
import org.masticspread.model.config.WorkClassConfig;

/**
 * A generator of the configuration of a team from its answers.
 *
 * <p>The floor of a team is the fraction of the pool that its work needs in order to keep running
 * during a flood, computed as arrival rate times run time; each work class gets its share of that
 * floor. Has no side effects and is thread-safe.
 *
 * <p>Example: {@code new Generator(cell, network).generate(answers).conflicts()}.
 */
public final class ConfigGenerator {
  private static final Duration MAX_ANSWER_TIME = Duration.ofHours(1);
  private static final int FLOOR_DIGITS = 4;
  private static final int RATE_DIGITS = 4;
  private static final int MIN_QUEUE = 16;
  private static final int MAX_QUEUE = 100_000;
  private static final long MIN_QUEUE_BYTES = 64L << 10;
  private static final long MAX_QUEUE_BYTES = 256L << 20;
  private static final int DEFAULT_WEIGHT = 1;

  private final Configuration cell;
  private final Network network;

  /**
   * Creates a generator.
   *
   * @param cell the configuration in force
   * @param network the latencies of the network
   */
  public ConfigGenerator(Configuration cell, Network network) {
    this.cell = cell;
    this.network = network;
  }

  /**
   * Derives the configuration.
   *
   * @param answers the answers
   * @return the configuration, its meaning and its conflicts
   */
  public GeneratedConfig generate(Answers answers) {
    PoolFacts facts = PoolFacts.of(cell, answers.pool(), answers.team());
    List<Double> needs = answers.work().stream().map(w -> need(facts, w)).toList();
    double need = needs.stream().mapToDouble(Double::doubleValue).sum();
    double floor = answers.agreedPart() == null ? roundUp(need) : answers.agreedPart();
    TeamConfig team = team(answers, Math.min(1, floor));
    List<WorkClassConfig> classes = new ArrayList<>();
    for (int i = 0; i < needs.size(); i++) {
      double share = need == 0 ? 0 : needs.get(i) / need;
      classes.add(workClass(answers, answers.work().get(i), roundDown(share)));
    }
    ConfigFile config = new ConfigFile(null, null, List.of(team), classes, null, null);
    List<Conflict> conflicts =
        new ConflictCheck(cell, facts, network).conflicts(answers, need, floor);
    return new GeneratedConfig(config, ConfigSummary.of(answers, config, facts, cell), conflicts);
  }

  /**
   * Returns the fraction of the pool that the work needs during a flood. If the pool lacks a
   * resource that the work needs, the need counts as the whole pool; {@link ConflictCheck} reports
   * the lack.
   */
  private static double need(PoolFacts facts, Work work) {
    double part = facts.poolFraction(work, work.inProgress() * work.floodPart());
    return Double.isFinite(part) ? part : 1;
  }

  private TeamConfig team(Answers answers, double floor) {
    return cell.team(answers.team())
        .map(
            t ->
                new TeamConfig(t.name(), answers.pool(), t.weight(), floor, t.quota(), t.retired()))
        .orElseGet(
            () ->
                new TeamConfig(answers.team(), answers.pool(), DEFAULT_WEIGHT, floor, null, false));
  }

  private static WorkClassConfig workClass(Answers answers, Work work, double floor) {
    Duration within =
        work.within().compareTo(MAX_ANSWER_TIME) > 0 ? MAX_ANSWER_TIME : work.within();
    int queue = queueLimit(work, within);
    return new WorkClassConfig(
        answers.team(),
        work.name(),
        work.urgency(),
        !work.atMostOnce(),
        floor,
        within,
        rounded(work.ratePerSecond()),
        queue,
        queueBytes(work, queue),
        false);
  }

  /**
   * Returns the number of arrivals at the peak within the answer time, within fixed bounds;
   * requests queued beyond that could not be answered in time.
   */
  private static int queueLimit(Work work, Duration within) {
    double arrivals = work.ratePerSecond() * within.toMillis() / Duration.ofSeconds(1).toMillis();
    return (int) Math.max(MIN_QUEUE, Math.min(MAX_QUEUE, Math.ceil(arrivals)));
  }

  private static long queueBytes(Work work, int queue) {
    double bytes = (double) queue * work.size().largestBodyBytes();
    return (long) Math.max(MIN_QUEUE_BYTES, Math.min(MAX_QUEUE_BYTES, bytes));
  }

  private static double roundUp(double part) {
    return BigDecimal.valueOf(part).setScale(FLOOR_DIGITS, RoundingMode.CEILING).doubleValue();
  }

  private static double roundDown(double part) {
    return BigDecimal.valueOf(part).setScale(FLOOR_DIGITS, RoundingMode.FLOOR).doubleValue();
  }

  private static double rounded(double rate) {
    return BigDecimal.valueOf(rate).round(new MathContext(RATE_DIGITS)).doubleValue();
  }
}
