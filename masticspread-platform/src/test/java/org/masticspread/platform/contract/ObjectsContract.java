package org.masticspread.platform.contract;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.masticspread.model.platform.StoreException;
import org.masticspread.model.work.Payload;

/** Contract of every object store. */
abstract class ObjectsContract extends PlatformContract {
  @ParameterizedTest
  @ValueSource(ints = {0, 1, 1_000_000})
  void should_store_and_replace_objects(int size) throws Exception {
    // GIVEN
    Payload content = new Payload(new byte[size]);

    // WHEN
    platform.objects.put("s/1", Payload.ofText("former"));
    platform.objects.put("s/1", content);

    // THEN
    assertThat(platform.objects.get("s/1")).contains(content);
    assertThat(platform.objects.get("s/2")).isEmpty();
  }

  @Test
  void should_list_by_prefix_and_delete() throws Exception {
    // GIVEN
    for (String name : new String[] {"s/2", "t/1", "s/1"}) {
      platform.objects.put(name, Payload.EMPTY);
    }

    // WHEN
    platform.objects.delete("s/2");
    platform.objects.delete("absent");

    // THEN
    assertThat(platform.objects.list("s/")).containsExactly("s/1");
    assertThat(platform.objects.list("")).containsExactly("s/1", "t/1");
  }

  @Test
  void should_write_although_the_answer_is_lost() throws Exception {
    // GIVEN
    platform.faults.on("objects.put").times(1).answerLost();

    // WHEN / THEN
    assertThatThrownBy(() -> platform.objects.put("a", Payload.ofText("x")))
        .isInstanceOfSatisfying(
            StoreException.class,
            e -> assertThat(e.effect()).isEqualTo(StoreException.Effect.UNKNOWN));
    assertThat(platform.objects.get("a")).contains(Payload.ofText("x"));
  }
}
