package org.masticspread.ctl.questionnaire;

import java.util.List;
import org.masticspread.ctl.config.ConfigFile;

/**
 * The configuration generated from the answers, with its meaning and its conflicts.
 *
 * @param config the team and its work classes
 * @param sentences the meaning of the configuration, in plain words
 * @param conflicts the answers that can't be satisfied; empty if all can
 */
public record GeneratedConfig(ConfigFile config, List<String> sentences, List<Conflict> conflicts) {

  /** Copies the lists. */
  public GeneratedConfig {
    sentences = List.copyOf(sentences);
    conflicts = List.copyOf(conflicts);
  }
}
