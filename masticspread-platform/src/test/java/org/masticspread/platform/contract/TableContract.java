package org.masticspread.platform.contract;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.masticspread.model.platform.Condition;
import org.masticspread.model.platform.ConditionFailedException;
import org.masticspread.model.platform.Mutation;
import org.masticspread.model.platform.Row;
import org.masticspread.model.platform.StoreException;
import org.masticspread.model.platform.Transaction;
import org.masticspread.model.work.Payload;
import org.masticspread.platform.standin.FaultKind;

/** Contract of every table service. */
abstract class TableContract extends PlatformContract {
  private void put(String key, long version, String value) throws Exception {
    platform.table.commit(
        new Transaction(
            List.of(new Condition(key, version)),
            List.of(Mutation.put(key, Payload.ofText(value)))));
  }

  @Test
  void should_increment_versions_and_commit_atomically() throws Exception {
    // GIVEN
    put("a", Condition.ABSENT, "one");
    put("a", 1, "two");
    Transaction half =
        new Transaction(
            List.of(new Condition("a", 2), new Condition("b", 7)),
            List.of(Mutation.delete("a"), Mutation.put("b", Payload.EMPTY)));

    // WHEN / THEN
    assertThatThrownBy(() -> platform.table.commit(half))
        .isInstanceOfSatisfying(
            ConditionFailedException.class, e -> assertThat(e.key()).isEqualTo("b"));
    assertThat(platform.table.read("a")).contains(new Row("a", 2, Payload.ofText("two")));
    assertThat(platform.table.read("b")).isEmpty();
  }

  @Test
  void should_restart_the_version_of_a_deleted_row() throws Exception {
    // GIVEN
    put("a", Condition.ABSENT, "one");

    // WHEN
    platform.table.commit(new Transaction(List.of(), List.of(Mutation.delete("a"))));
    put("a", Condition.ABSENT, "three");

    // THEN
    assertThat(platform.table.read("a").orElseThrow().version()).isEqualTo(1);
  }

  @ParameterizedTest
  @CsvSource({
    "'', '', 10, a b/1 b/2 b/3 c",
    "b/, '', 10, b/1 b/2 b/3",
    "b/, b/1, 1, b/2",
    "b/, b/3, 10, ''",
    "b/, a, 2, b/1 b/2",
    "'', b, 2, b/1 b/2",
    "d, '', 10, ''"
  })
  void should_scan_in_key_order(String prefix, String after, int limit, String expected)
      throws Exception {
    // GIVEN
    for (String key : List.of("c", "b/2", "a", "b/3", "b/1")) {
      put(key, Condition.ABSENT, key);
    }

    // WHEN
    List<Row> rows = platform.table.scan(prefix, after, limit);

    // THEN
    assertThat(String.join(" ", rows.stream().map(Row::key).toList())).isEqualTo(expected);
  }

  @ParameterizedTest
  @CsvSource({
    "DOWN, NONE, 0, 0",
    "ERROR_BEFORE_EFFECT, UNKNOWN, 0, 0",
    "SILENT, UNKNOWN, 0, 0",
    "ANSWER_LOST, UNKNOWN, 1, 1",
    "CUT, UNKNOWN, 1, 1",
    "FOREIGN, UNKNOWN, 1, 1",
    "REORDERED, UNKNOWN, 0, 1",
    "SLOW, , 1, 1",
    "STALE, , 1, 1",
    "DUPLICATE, , 2, 2"
  })
  void should_report_the_known_effect_of_a_commit(
      FaultKind kind, StoreException.Effect effect, long version, long later) throws Exception {
    // GIVEN
    FaultRules.activate(platform.faults.on("table.commit/a").times(1), kind);
    Transaction write = new Transaction(List.of(), List.of(Mutation.put("a", Payload.ofText("x"))));

    // WHEN
    StoreException.Effect reported = null;
    try {
      platform.table.commit(write);
    } catch (StoreException e) {
      reported = e.effect();
    }

    // THEN
    assertThat(reported).isEqualTo(effect);
    assertThat(platform.table.read("a").map(Row::version).orElse(0L)).isEqualTo(version);
    assertThat(platform.table.read("a").map(Row::version).orElse(0L)).isEqualTo(later);
  }
}
