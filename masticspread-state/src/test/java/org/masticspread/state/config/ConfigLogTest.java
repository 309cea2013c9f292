package org.masticspread.state.config;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.masticspread.model.config.AuditEntry;
import org.masticspread.model.config.Configuration;
import org.masticspread.model.config.PoolConfig;
import org.masticspread.model.id.DataCentreId;
import org.masticspread.model.id.PoolId;
import org.masticspread.model.platform.StoreException;
import org.masticspread.state.testing.FakeTable;
import org.masticspread.state.testing.Fault;
import org.masticspread.state.testing.VirtualClock;

class ConfigLogTest {
  private final VirtualClock clock = new VirtualClock();
  private final FakeTable table = new FakeTable(clock);
  private final AtomicInteger changes = new AtomicInteger();
  private final ConfigLog log =
      new ConfigLog(table, clock, () -> "change-" + changes.incrementAndGet());

  private static Configuration configurationOf(String... pools) {
    List<PoolConfig> list = new ArrayList<>();
    for (String pool : pools) {
      list.add(new PoolConfig(PoolId.of(pool), List.of(DataCentreId.of("gori")), false));
    }
    return new Configuration(0, list, List.of(), List.of(), List.of(), List.of());
  }

  @Nested
  class Apply {
    @Test
    void should_write_revision_and_audit_together() throws Exception {
      // GIVEN
      log.apply(0, configurationOf("one"), "ana", "add one");
      // WHEN
      long revision = log.apply(1, configurationOf("one", "two"), "beka", "add two");
      // THEN
      assertThat(revision).isEqualTo(2);
      assertThat(log.revision(2)).isEqualTo(configurationOf("one", "two").withRevision(2));
      AuditEntry entry = log.history(9).get(0);
      assertThat(entry.who() + " " + entry.what() + entry.before()).isEqualTo("beka add two");
      assertThat(entry.after()).contains("\"two\"").doesNotContain("\"one\"");
      assertThat(log.history(1)).containsExactly(entry);
    }

    @Test
    void should_return_the_earlier_changes_on_a_conflict() throws Exception {
      // GIVEN
      log.apply(0, configurationOf("one"), "ana", "add one");
      // WHEN // THEN
      assertThatThrownBy(() -> log.apply(0, configurationOf("two"), "beka", "add two"))
          .isInstanceOfSatisfying(
              ConflictException.class,
              e ->
                  assertThat(e.earlierChanges())
                      .extracting(AuditEntry::who)
                      .containsExactly("ana"));
      assertThat(log.head()).isEqualTo(1);
    }

    @ParameterizedTest
    @CsvSource({
      "ERROR_BEFORE, NONE, NONE",
      "ERROR_AFTER, NONE, NONE",
      "LATE_EFFECT, NONE, NONE",
      "ERROR_BEFORE, ERROR_AFTER, NONE",
      "LATE_EFFECT, ERROR_BEFORE, ERROR_AFTER",
      "ERROR_AFTER, ERROR_BEFORE, LATE_EFFECT",
      "SLOW, NONE, NONE"
    })
    void should_resolve_a_lost_answer(Fault first, Fault second, Fault third) throws Exception {
      // GIVEN
      table.failCommits("config/", first, second, third);
      // WHEN
      long revision = log.apply(0, configurationOf("one"), "ana", "add one");
      // THEN
      assertThat(revision).isEqualTo(1);
      assertThat(table.keys("config/rev/")).hasSize(1);
      assertThat(table.keys("audit/")).hasSize(1);
    }

    @ParameterizedTest
    @CsvSource({"REFUSED, NONE", "ERROR_BEFORE, UNKNOWN"})
    void should_report_the_known_effect_after_the_last_attempt(
        Fault fault, StoreException.Effect effect) {
      // GIVEN
      table.failCommits("config/", fault, fault, fault, fault);
      // WHEN // THEN
      assertThatThrownBy(() -> log.apply(0, configurationOf("one"), "ana", "add one"))
          .isInstanceOfSatisfying(
              StoreException.class, e -> assertThat(e.effect()).isEqualTo(effect));
    }
  }

  @Nested
  @Group
  class Follow {
    @Property(seed = "17")
    void should_never_decrease_the_revision(
        @ForAll @Size(max = 40) List<@IntRange(min = 0, max = 12) Integer> offers) {
      // GIVEN
      ConfigFollower follower = new ConfigFollower(log);
      List<Long> seen = new ArrayList<>();
      follower.onChange(c -> seen.add(c.revision()));
      // WHEN
      offers.forEach(revision -> follower.offer(configurationOf("one").withRevision(revision)));
      // THEN
      int highest = offers.stream().mapToInt(i -> i).max().orElse(0);
      assertThat(follower.inForce().revision()).isEqualTo(highest);
      assertThat(seen).isSorted().doesNotHaveDuplicates();
    }

    @Test
    void should_activate_the_latest_revision_and_ignore_a_stale_read() throws Exception {
      // GIVEN
      ConfigFollower follower = new ConfigFollower(log);
      log.apply(0, configurationOf("one"), "ana", "add one");
      log.apply(1, configurationOf("two"), "ana", "change");
      // WHEN
      boolean changed = follower.poll();
      table.failReads("config/", Fault.STALE);
      boolean again = follower.poll();
      // THEN
      assertThat(changed).isTrue();
      assertThat(again).isFalse();
      assertThat(follower.inForce()).isEqualTo(configurationOf("two").withRevision(2));
    }
  }
}
