package org.masticspread.wire;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.masticspread.wire.WireFixture.error;

import io.reactivex.rxjava3.schedulers.Schedulers;
import java.io.InputStream;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.masticspread.model.id.VmId;
import org.masticspread.model.peer.FetchConfig;
import org.masticspread.model.peer.GangReserved;
import org.masticspread.model.peer.PeerException;
import org.masticspread.wire.internal.Frame;

/** Tests that an unauthenticated peer gets no answer and no call of it is handled. */
class PeerHandshakeTest {
  private static final byte[] OTHER_KEY = "fedcba9876543210".getBytes(StandardCharsets.UTF_8);

  private final AtomicInteger handled = new AtomicInteger();

  private WireFixture open(byte[] clientKey) throws Exception {
    return new WireFixture(
        WireFixture.SETTINGS,
        clientKey,
        Schedulers.computation(),
        (from, message) -> {
          handled.incrementAndGet();
          return CompletableFuture.completedStage(new GangReserved(from.value().length()));
        });
  }

  @Test
  void should_reject_another_key_before_anything_is_sent() throws Exception {
    // GIVEN
    try (WireFixture wire = open(OTHER_KEY)) {
      // WHEN
      PeerException error = error(wire.call(new FetchConfig(1)));

      // THEN
      assertThat(error.mayHaveBeenSent()).isFalse();
      assertThat(handled).hasValue(0);
      assertThat(wire.count(wire.serverMetrics, "wire.strangers")).isEqualTo(1);
    }
  }

  @Test
  void should_reject_another_vm_at_the_address() throws Exception {
    // GIVEN
    try (WireFixture wire = open(WireFixture.KEY)) {
      // WHEN
      PeerException error =
          error(wire.client.call(VmId.of("c"), new FetchConfig(1), WireFixture.LONG_TIMEOUT));

      // THEN
      assertThat(error.mayHaveBeenSent()).isFalse();
      assertThat(handled).hasValue(0);
    }
  }

  static Stream<byte[]> invalidHandshakes() throws Exception {
    byte[] message = MessageTypes.write(new FetchConfig(1));
    byte[] other = new Frame(Frame.HELLO, 0, 0, message).encode();
    other[1] = 2;
    return Stream.of(
        framed(new Frame(Frame.FIRST_MESSAGE, 1, 0, message).encode()),
        framed(new Frame(Frame.HELLO, 0, 0, message).encode()),
        framed(new Frame(Frame.HELLO, 0, 0, new byte[0]).encode()),
        framed(new Frame(Frame.HEARTBEAT, 0, 0, new byte[0]).encode()),
        framed(other),
        framed(new byte[1025]),
        ByteBuffer.allocate(4).putInt(Integer.MAX_VALUE).array(),
        "GET / HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.UTF_8));
  }

  private static byte[] framed(byte[] bytes) {
    return ByteBuffer.allocate(bytes.length + 4).putInt(bytes.length).put(bytes).array();
  }

  @ParameterizedTest
  @MethodSource("invalidHandshakes")
  void should_close_after_an_invalid_handshake_without_sending_a_byte(byte[] sent)
      throws Exception {
    // GIVEN
    try (WireFixture wire = open(WireFixture.KEY);
        Socket socket =
            new Socket(wire.server.address().getAddress(), wire.server.address().getPort())) {
      socket.setSoTimeout(60_000);
      InputStream in = socket.getInputStream();

      // WHEN
      socket.getOutputStream().write(sent);
      int answered = in.read();

      // THEN
      assertThat(answered).isEqualTo(-1);
      assertThat(handled).hasValue(0);
    }
  }

  @Test
  void should_reject_a_short_key() {
    // WHEN / THEN
    assertThatThrownBy(
            () -> PeerTransport.create(WireFixture.SETTINGS, WireFixture.A, new byte[15]))
        .isInstanceOf(IllegalArgumentException.class)
        .hasMessageContaining("clusterKey");
  }
}
