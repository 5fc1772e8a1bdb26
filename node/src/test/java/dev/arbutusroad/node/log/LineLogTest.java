package dev.arbutusroad.node.log;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

final class LineLogTest {
  /** Guards against losing queued lines when a process ends. */
  @Test
  void closeWritesPendingLines() {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    LineLog log = LineLog.start(new PrintStream(bytes, true, StandardCharsets.UTF_8));
    log.add("event=one");
    log.add("event=two");
    log.close();
    assertThat(bytes.toString(StandardCharsets.UTF_8)).isEqualTo("event=one\nevent=two\n");
  }

  /** Guards against a node that blocks because the reader of its log output has stalled. */
  @Test
  void stalledOutputBlocksNoCallerAndDroppedLinesAreCounted() {
    CountDownLatch readerResumed = new CountDownLatch(1);
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    OutputStream stalled =
        new OutputStream() {
          @Override
          public void write(int b) {
            try {
              readerResumed.await();
            } catch (InterruptedException e) {
              Thread.currentThread().interrupt();
            }
            bytes.write(b);
          }
        };
    LineLog log = LineLog.start(new PrintStream(stalled, false, StandardCharsets.UTF_8));
    for (int i = 0; i < 10_000; i++) {
      log.add("event=line");
    }
    readerResumed.countDown();
    log.close();
    assertThat(bytes.toString(StandardCharsets.UTF_8)).contains("event=log_lines_dropped count=");
  }
}
