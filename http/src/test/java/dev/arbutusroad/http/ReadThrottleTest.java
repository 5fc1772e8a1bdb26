package dev.arbutusroad.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against a channel that is read without end, and one that is never read again. */
final class ReadThrottleTest {
  private final EmbeddedChannel channel = new EmbeddedChannel();
  private final ReadThrottle throttle = new ReadThrottle(channel);

  @BeforeEach
  void addThrottle() {
    channel.pipeline().addLast(throttle);
    channel.freezeTime();
  }

  @AfterEach
  void close() {
    channel.finishAndReleaseAll();
  }

  @Test
  void channelThatUsesItsShareIsPausedForATurn() {
    read(ReadThrottle.MAX_TURN_BYTES);
    assertThat(channel.config().isAutoRead()).isFalse();
    passTime();
    assertThat(channel.config().isAutoRead()).isTrue();
  }

  @Test
  void channelBelowItsShareIsNotPaused() {
    for (int i = 0; i < 3; i++) {
      read(ReadThrottle.MAX_TURN_BYTES - 1);
      assertThat(channel.config().isAutoRead()).isTrue();
    }
  }

  @Test
  void consumerThatResumesDoesNotEndThePause() {
    read(ReadThrottle.MAX_TURN_BYTES);
    throttle.setReading(true);
    assertThat(channel.config().isAutoRead()).isFalse();
  }

  @Test
  void endOfThePauseDoesNotResumeAPausedConsumer() {
    read(ReadThrottle.MAX_TURN_BYTES);
    throttle.setReading(false);
    passTime();
    assertThat(channel.config().isAutoRead()).isFalse();
    throttle.setReading(true);
    assertThat(channel.config().isAutoRead()).isTrue();
  }

  private void read(int bytes) {
    channel.writeInbound(Unpooled.wrappedBuffer(new byte[bytes]));
  }

  private void passTime() {
    channel.advanceTimeBy(10, TimeUnit.SECONDS);
    channel.runScheduledPendingTasks();
  }
}
