package org.masticspread.platform.standin;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.masticspread.model.platform.Condition;
import org.masticspread.model.platform.ConditionFailedException;
import org.masticspread.model.platform.Mutation;
import org.masticspread.model.platform.Row;
import org.masticspread.model.platform.Transaction;
import org.masticspread.model.work.Payload;

/** Compares the table with a simple reference implementation. */
class MemoryTableTest {
  @Provide
  Arbitrary<Transaction> transactions() {
    Arbitrary<String> keys = Arbitraries.of("a", "a/1", "a/2", "b");
    Arbitrary<Condition> condition =
        Combinators.combine(keys, Arbitraries.longs().between(0, 2)).as(Condition::new);
    Arbitrary<Payload> value = Arbitraries.of("x", "y").map(Payload::ofText).injectNull(0.3);
    Arbitrary<Mutation> mutation = Combinators.combine(keys, value).as(Mutation::new);
    return Combinators.combine(
            condition.list().ofMaxSize(1), mutation.list().ofMinSize(1).ofMaxSize(3))
        .as(Transaction::new);
  }

  @Property(seed = "31")
  void should_behave_like_a_reference_table(
      @ForAll List<@net.jqwik.api.From("transactions") Transaction> transactions) throws Exception {
    // GIVEN
    MemoryTable table = new MemoryTable(Faults.none());
    Map<String, Row> reference = new HashMap<>();

    // WHEN
    for (Transaction transaction : transactions) {
      boolean conditionsHold =
          transaction.conditions().stream()
              .allMatch(c -> version(reference, c.key()) == c.version());
      assertThat(committed(table, transaction)).isEqualTo(conditionsHold);
      transaction.mutations().stream()
          .filter(m -> conditionsHold)
          .forEach(m -> write(reference, m));
    }

    // THEN
    List<Row> expected =
        reference.values().stream()
            .filter(row -> row.key().startsWith("a/"))
            .sorted((x, y) -> x.key().compareTo(y.key()))
            .toList();
    assertThat(table.scan("a/", "", 10)).isEqualTo(expected);
    assertThat(table.scan("", "", 10)).hasSize(reference.size());
  }

  private static boolean committed(MemoryTable table, Transaction transaction) throws Exception {
    try {
      table.commit(transaction);
      return true;
    } catch (ConditionFailedException e) {
      return false;
    }
  }

  private static long version(Map<String, Row> rows, String key) {
    return rows.containsKey(key) ? rows.get(key).version() : 0;
  }

  private static void write(Map<String, Row> rows, Mutation mutation) {
    long next = version(rows, mutation.key()) + 1;
    rows.remove(mutation.key());
    if (mutation.value() != null) {
      rows.put(mutation.key(), new Row(mutation.key(), next, mutation.value()));
    }
  }
}
