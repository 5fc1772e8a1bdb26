package dev.arbutusroad.node.log;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

final class LineLogTest {
  /** Guards against lines that are lost at the end of a process. */
  @Test
  void closeWritesPendingLines() {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    LineLog log = LineLog.start(new PrintStream(bytes, true, StandardCharsets.UTF_8));
    log.add("event=one");
    log.add("event=two");
    log.close();
    assertThat(bytes.toString(StandardCharsets.UTF_8)).isEqualTo("event=one\nevent=two\n");
  }

  /** Guards against a reader of the log that stops and thereby stops the node. */
  @Test
  void stalledOutputBlocksNoCallerAndDroppedLinesAreCounted() {
    CountDownLatch reading = new CountDownLatch(1);
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    OutputStream stalled =
        new OutputStream() {
          @Override
          public void write(int b) {
            try {
              reading.await();
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
    reading.countDown();
    log.close();
    assertThat(bytes.toString(StandardCharsets.UTF_8)).contains("event=log_lines_dropped count=");
  }
}
