import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes the events of a case to its record file, each with the time since the start. */
final class Recorder implements AutoCloseable {
  private final long startNanos = System.nanoTime();
  private final PrintWriter out;

  Recorder(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
  }

  /** Returns the seconds since the start. */
  double now() {
    return (System.nanoTime() - startNanos) / 1e9;
  }

  /** Writes one event. */
  synchronized void add(String event) {
    out.printf("%8.3f  %s%n", now(), event);
    out.flush();
  }

  @Override
  public synchronized void close() {
    out.close();
  }
}
