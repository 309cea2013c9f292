package org.masticspread.model.platform;

import java.util.List;

/**
 * A set of writes that take effect atomically if all conditions hold.
 *
 * @param conditions the conditions
 * @param mutations the writes
 */
public record Transaction(List<Condition> conditions, List<Mutation> mutations) {

  /** Copies the lists. */
  public Transaction {
    conditions = List.copyOf(conditions);
    mutations = List.copyOf(mutations);
  }
}
