package org.masticspread.ctl.questionnaire;

import java.util.List;
import org.masticspread.ctl.config.ConfigFile;

/**
 * What follows from the answers.
 *
 * @param config the team and its work classes
 * @param sentences what the configuration means, in plain words
 * @param conflicts the answers that can't be met; empty when all can
 */
public record Generated(ConfigFile config, List<String> sentences, List<Conflict> conflicts) {

  /** Copies the lists. */
  public Generated {
    sentences = List.copyOf(sentences);
    conflicts = List.copyOf(conflicts);
  }
}
