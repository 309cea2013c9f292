package org.masticspread.wire;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.DecoderException;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.masticspread.model.peer.PeerMessage;
import org.masticspread.wire.internal.Frame;
import org.masticspread.wire.internal.FrameCodec;
import org.masticspread.wire.internal.WireMetrics;

/**
 * Checks that arbitrary bytes are decoded to frames and messages or rejected with a {@link
 * WireFormatException}, never with another exception.
 */
class DecoderFuzzTest {
  private static final int LIMIT = 4096;

  @Provide
  Arbitrary<Integer> numbers() {
    return Arbitraries.of(MessageTypes.all().keySet());
  }

  private static List<Frame> decode(byte[] bytes, int chunk) {
    FrameCodec codec = new FrameCodec(new WireMetrics(new MetricRegistry()));
    codec.setMaxFrameBytes(LIMIT);
    EmbeddedChannel channel = new EmbeddedChannel(codec);
    List<Frame> frames = new ArrayList<>();
    try {
      for (int at = 0; at < bytes.length; at += chunk) {
        int end = Math.min(bytes.length, at + chunk);
        channel.writeInbound(Unpooled.copiedBuffer(bytes, at, end - at));
      }
    } catch (DecoderException e) {
      assertThat(e.getCause()).isInstanceOf(WireFormatException.class);
    }
    for (Frame frame = channel.readInbound(); frame != null; frame = channel.readInbound()) {
      frames.add(frame);
    }
    channel.finishAndReleaseAll();
    return frames;
  }

  private static void assertReadOrRejected(int number, byte[] body) {
    try {
      assertThat(MessageTypes.read(number, body)).isNotNull();
    } catch (WireFormatException e) {
      assertThat(e.getMessage()).isNotBlank();
    }
  }

  private static byte[] framed(byte[] envelope) {
    return ByteBuffer.allocate(envelope.length + 4).putInt(envelope.length).put(envelope).array();
  }

  @Property(seed = "101", tries = 2000)
  void should_decode_or_reject_any_stream(
      @ForAll @Size(max = 300) byte[] bytes, @ForAll boolean framed) {
    // WHEN
    List<Frame> frames = decode(framed ? framed(bytes) : bytes, 7);

    // THEN
    frames.forEach(frame -> assertReadOrRejected(frame.kind(), frame.body()));
    assertThat(frames.size()).isLessThanOrEqualTo(bytes.length / 4 + 1);
  }

  @Property(seed = "102", tries = 2000)
  void should_decode_or_reject_any_body(
      @ForAll("numbers") int number, @ForAll @Size(max = 200) byte[] body) {
    assertReadOrRejected(number, body);
  }

  @Property(seed = "103", tries = 2000)
  void should_decode_or_reject_a_corrupted_message(
      @ForAll("numbers") int number,
      @ForAll @IntRange(max = 100_000) int position,
      @ForAll byte change,
      @ForAll boolean cut)
      throws Exception {
    // GIVEN
    PeerMessage message = (PeerMessage) Samples.of(MessageTypes.all().get(number), 3);
    byte[] body = MessageTypes.write(message);
    body[position % body.length] = change;

    // WHEN / THEN
    assertReadOrRejected(number, cut ? Arrays.copyOf(body, position % body.length) : body);
  }

  @Property(seed = "104")
  void should_decode_all_frames_with_any_chunk_size(
      @ForAll @Size(min = 1, max = 5) List<@Size(max = 600) byte[]> bodies,
      @ForAll @IntRange(min = 1, max = 50) int chunk)
      throws Exception {
    // GIVEN
    ByteArrayOutputStream stream = new ByteArrayOutputStream();
    for (byte[] body : bodies) {
      stream.write(framed(new Frame(Frame.FIRST_MESSAGE, 1L << 40, 1, body).encode()));
    }

    // WHEN
    List<Frame> frames = decode(stream.toByteArray(), chunk);

    // THEN
    assertThat(frames.stream().map(Frame::body).toArray(byte[][]::new))
        .isDeepEqualTo(bodies.toArray(byte[][]::new));
    assertThat(frames).allMatch(frame -> frame.id() == 1L << 40 && frame.isAnswer());
  }

  @Property(seed = "105")
  void should_reject_a_length_over_the_limit_before_the_body_arrives(@ForAll int length) {
    // GIVEN
    FrameCodec codec = new FrameCodec(new WireMetrics(new MetricRegistry()));
    codec.setMaxFrameBytes(LIMIT);
    EmbeddedChannel channel = new EmbeddedChannel(codec);

    // WHEN
    boolean refused = false;
    try {
      channel.writeInbound(Unpooled.buffer(4).writeInt(length));
    } catch (DecoderException e) {
      refused = e.getCause() instanceof WireFormatException;
    }

    // THEN
    assertThat(refused).isEqualTo(length <= 0 || length > LIMIT);
  }
}
