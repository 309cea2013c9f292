package org.masticspread.wire;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.masticspread.model.peer.FetchConfig;
import org.masticspread.model.peer.PeerMessage;

/** Checks that every message type has a number and that messages survive encoding and decoding. */
class MessageTypesTest {
  private static final int SAMPLES_PER_TYPE = 5;

  static Stream<Class<? extends PeerMessage>> types() {
    return MessageTypes.all().values().stream();
  }

  @Test
  void should_number_every_message_once() {
    // WHEN
    Set<String> records =
        new ClassFileImporter()
            .importPackages("org.masticspread.model.peer").stream()
                .filter(type -> type.isAssignableTo(PeerMessage.class) && !type.isInterface())
                .map(JavaClass::getName)
                .collect(Collectors.toSet());

    // THEN
    assertThat(records).hasSizeGreaterThan(20);
    assertThat(types().map(Class::getName)).containsExactlyInAnyOrderElementsOf(records);
  }

  @ParameterizedTest
  @MethodSource("types")
  void should_decode_what_was_encoded(Class<? extends PeerMessage> type) throws Exception {
    for (int number = 0; number < SAMPLES_PER_TYPE; number++) {
      // GIVEN
      PeerMessage message = (PeerMessage) Samples.of(type, number);

      // WHEN
      PeerMessage read =
          MessageTypes.read(MessageTypes.numberOf(message), MessageTypes.write(message));

      // THEN
      assertThat(read).isEqualTo(message);
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 99, 127, -1})
  void should_report_an_unknown_number(int number) throws Exception {
    // GIVEN
    byte[] body = MessageTypes.write(new FetchConfig(1));

    // WHEN / THEN
    assertThatThrownBy(() -> MessageTypes.read(number, body))
        .isInstanceOf(WireFormatException.class)
        .hasMessageContaining(Integer.toString(number));
  }
}
