package dev.arbutusroad.bench.node;

import java.io.Closeable;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A node process of one build, started with the Java options of that build's deploy file. */
final class NodeProcessUnderTest implements Closeable {
  static final String SECRET = "0123456789abcdef0123456789abcdef";
  private static final int START_TIMEOUT_MILLIS = 30_000;
  private static final int POLL_MILLIS = 10;
  private static final int MILLIS_PER_CLOCK_TICK = 10;
  private static final Pattern JAVA_OPTIONS = Pattern.compile("run = \"java (.*) -jar ");

  private final Process process;
  private final int port;

  /**
   * Starts a node and waits until its health check succeeds.
   *
   * @param root the checkout of the build, with its JAR file under {@code target/}
   * @param platformPort the port of the stand-in platform
   * @param port the first of four consecutive ports for the node
   * @throws IOException if the process cannot be started or is not healthy in time
   */
  NodeProcessUnderTest(Path root, int platformPort, int port)
      throws IOException, InterruptedException {
    this.port = port;
    Path settings = Files.createTempFile("node-cost", ".json");
    Files.writeString(
        settings,
        """
        {
          "id": "measured", "host": "127.0.0.1", "region": "r", "failureDomain": "d",
          "listeners": {
            "caller": "127.0.0.1:%d", "exit": "127.0.0.1:%d",
            "peer": "127.0.0.1:%d", "admin": "127.0.0.1:%d"
          },
          "platform": "127.0.0.1:%d", "sharedSecret": "%s"
        }
        """
            .formatted(port, port + 1, port + 2, port + 3, platformPort, SECRET));
    List<String> command = new ArrayList<>(List.of("java"));
    command.addAll(options(root));
    command.addAll(List.of("-jar", "target/arbutusroad.jar", "node", "--settings"));
    command.add(settings.toString());
    process =
        new ProcessBuilder(command)
            .directory(root.toFile())
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.DISCARD)
            .start();
    awaitHealthy();
    Files.delete(settings);
  }

  private static List<String> options(Path root) throws IOException {
    Matcher found = JAVA_OPTIONS.matcher(Files.readString(root.resolve("deploy/system.toml")));
    if (!found.find()) {
      throw new IOException("deploy/system.toml has no run command with Java options");
    }
    return List.of(found.group(1).split(" ", -1));
  }

  private void awaitHealthy() throws IOException, InterruptedException {
    for (int waited = 0; waited < START_TIMEOUT_MILLIS; waited += POLL_MILLIS) {
      if (status("GET", "http://127.0.0.1:" + (port + 3) + "/healthz", "") == 200) {
        return;
      }
      TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
    }
    throw new IOException("the node did not become healthy in time");
  }

  /** Announces the target to the node; must be repeated once per second. */
  void announce(int targetPort) {
    status(
        "POST",
        "http://127.0.0.1:" + (port + 1) + "/arbutus/announce",
        "{\"service\":\"planner\",\"address\":\"127.0.0.1:" + targetPort + "\"}");
  }

  private static int status(String method, String url, String body) {
    try {
      HttpURLConnection call = (HttpURLConnection) URI.create(url).toURL().openConnection();
      call.setRequestMethod(method);
      call.setConnectTimeout(START_TIMEOUT_MILLIS);
      call.setReadTimeout(START_TIMEOUT_MILLIS);
      if (!body.isEmpty()) {
        call.setDoOutput(true);
        call.getOutputStream().write(body.getBytes(StandardCharsets.UTF_8));
      }
      return call.getResponseCode();
    } catch (IOException e) {
      // The node does not listen yet; the caller polls again.
      return 0;
    }
  }

  int callerPort() {
    return port;
  }

  int peerPort() {
    return port + 2;
  }

  /** Returns the CPU time used since the start, in milliseconds. */
  long cpuMillis() throws IOException {
    String stat = Files.readString(Path.of("/proc/" + process.pid() + "/stat"));
    String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ", -1);
    return (Long.parseLong(fields[11]) + Long.parseLong(fields[12])) * MILLIS_PER_CLOCK_TICK;
  }

  /** Returns the peak resident set size since the start, in KiB. */
  long peakKilobytes() throws IOException {
    for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
      if (line.startsWith("VmHWM:")) {
        return Long.parseLong(line.replaceAll("\\D", ""));
      }
    }
    throw new IOException("/proc/PID/status has no VmHWM line");
  }

  @Override
  public void close() {
    process.destroyForcibly();
  }
}
