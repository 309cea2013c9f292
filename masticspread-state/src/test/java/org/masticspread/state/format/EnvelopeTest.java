package org.masticspread.state.format;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.Arrays;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.masticspread.model.id.ShardId;
import org.masticspread.model.work.Payload;
import org.masticspread.state.format.RecordFormatException.Problem;

class EnvelopeTest {
  private static final ShardId VALUE = ShardId.work(7);
  private static final Payload SEALED = Envelope.seal(RecordKind.SHARD, VALUE);

  @ParameterizedTest
  @CsvSource({"0, 1, FOREIGN", "2, 9, FOREIGN", "3, 2, NEWER_VERSION", "4, 0, TORN", "9, 0, TORN"})
  void should_report_the_row_and_the_problem(int at, byte value, Problem problem) {
    // GIVEN
    byte[] bytes = SEALED.bytes().clone();
    bytes[at] = (byte) (value == 0 ? bytes[at] + 1 : value);
    // WHEN // THEN
    assertThatThrownBy(
            () -> Envelope.open("shard/1", new Payload(bytes), RecordKind.SHARD, ShardId.class))
        .isInstanceOfSatisfying(
            RecordFormatException.class,
            e -> assertThat(e.problem() + " " + e.name()).isEqualTo(problem + " shard/1"));
  }

  @Property(seed = "3")
  void should_detect_every_truncation_and_changed_byte(
      @ForAll @IntRange(min = 0, max = 500) int position,
      @ForAll @IntRange(min = 1, max = 255) int mask)
      throws Exception {
    // GIVEN
    byte[] truncated = Arrays.copyOf(SEALED.bytes(), position % SEALED.sizeBytes());
    byte[] changed = SEALED.bytes().clone();
    changed[position % changed.length] ^= (byte) mask;
    boolean olderVersion = position % changed.length == 3 && changed[3] < 1;
    // WHEN // THEN
    assertThat(Envelope.open("x", SEALED, RecordKind.SHARD, ShardId.class)).isEqualTo(VALUE);
    assertThatThrownBy(
            () -> Envelope.open("x", new Payload(truncated), RecordKind.SHARD, ShardId.class))
        .isInstanceOf(RecordFormatException.class);
    if (!olderVersion) {
      assertThatThrownBy(
              () -> Envelope.open("x", new Payload(changed), RecordKind.SHARD, ShardId.class))
          .isInstanceOf(RecordFormatException.class);
    }
  }
}
