package dev.arbutusroad.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against lost, reordered or leaked parts of a body, and against missing back-pressure. */
final class BodyTest {
  private final RecordingSource source = new RecordingSource();
  private final RecordingSink sink = new RecordingSink();

  @Test
  void partsAddedBeforeAndAfterTheSinkArriveInOrder() {
    Body body = new Body(source);
    body.add(part("a"));
    body.consume(sink);
    body.add(part("b"));
    body.complete();
    assertThat(sink.events).containsExactly("a", "flush", "b", "completed");
  }

  @Test
  void fastSourceIsPausedUntilTheSinkIsReady() {
    Body body = new Body(source);
    body.consume(sink);
    body.setReady(false);
    body.add(part("x".repeat(Body.MAX_BUFFERED_BYTES)));
    assertThat(source.events).isEmpty();
    body.add(part("y"));
    assertThat(source.events).containsExactly("pause");
    body.setReady(true);
    assertThat(source.events).containsExactly("pause", "resume");
    assertThat(sink.events).hasSize(3);
  }

  @Test
  void bodyOfAFailedSourceNeverCompletes() {
    Body body = new Body(source);
    List<BodyEnd> ends = new ArrayList<>();
    body.whenEnded(ends::add);
    body.add(part("a"));
    body.fail(new IOException("reset"));
    body.complete();
    body.consume(sink);
    assertThat(sink.events).containsExactly("failed reset");
    assertThat(ends).hasSize(1).first().isInstanceOf(BodyEnd.Failed.class);
  }

  @Test
  void cancelReleasesBufferedPartsAndCancelsTheSource() {
    Body body = new Body(source);
    ByteBuf buffered = part("a");
    body.add(buffered);
    body.cancel();
    ByteBuf late = part("b");
    body.add(late);
    assertThat(buffered.refCnt()).isZero();
    assertThat(late.refCnt()).isZero();
    assertThat(source.events).containsExactly("cancel");
  }

  /** The source of a complete body may already carry another message. */
  @Test
  void cancelOfACompleteBodyDoesNotCancelTheSource() {
    Body body = new Body(source);
    body.add(part("a"));
    body.complete();
    body.cancel();
    assertThat(source.events).isEmpty();
  }

  /** Guards against a source that sends without end and keeps the event loop busy. */
  @Test
  void discardingEndsAtALimitOfBytes() {
    Body body = new Body(source);
    body.discard();
    for (int bytes = 0; bytes <= Body.MAX_DISCARDED_BYTES; bytes += 1_024) {
      assertThat(source.events).isEmpty();
      body.add(part("x".repeat(1_024)));
    }
    assertThat(source.events).containsExactly("cancel");
  }

  @Test
  void discardingEndsAtALimitOfParts() {
    Body body = new Body(source);
    body.discard();
    for (int parts = 0; parts <= Body.MAX_DISCARDED_PARTS; parts++) {
      assertThat(source.events).isEmpty();
      body.add(part("x"));
    }
    assertThat(source.events).containsExactly("cancel");
  }

  /** Guards against a heap filled by the overhead of parts of one byte. */
  @Test
  void sourceOfManySmallPartsIsPaused() {
    Body body = new Body(source);
    body.consume(sink);
    body.setReady(false);
    for (int parts = 0; parts <= Body.MAX_BUFFERED_PARTS; parts++) {
      assertThat(source.events).isEmpty();
      body.add(part("x"));
    }
    assertThat(source.events).containsExactly("pause");
  }

  private static ByteBuf part(String text) {
    return Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
  }

  private static final class RecordingSource implements BodySource {
    private final List<String> events = new ArrayList<>();

    @Override
    public void setReading(boolean reading) {
      events.add(reading ? "resume" : "pause");
    }

    @Override
    public void cancel() {
      events.add("cancel");
    }
  }

  private static final class RecordingSink implements BodySink {
    private final List<String> events = new ArrayList<>();

    @Override
    public void part(ByteBuf part) {
      events.add(part.toString(StandardCharsets.US_ASCII));
      part.release();
    }

    @Override
    public void flush() {
      events.add("flush");
    }

    @Override
    public void completed() {
      events.add("completed");
    }

    @Override
    public void failed(Throwable cause) {
      events.add("failed " + cause.getMessage());
    }
  }
}
