import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/** A node process, started with the run line and the settings template of the deploy file. */
final class Node implements AutoCloseable {
  private static final Path DEPLOY_FILE = Path.of("deploy", "system.toml");
  private static final int FIRST_PORT = 12_000;
  private static final int LAST_PORT = 30_000;
  private static final Path TEMPLATE = Path.of("deploy", "node-settings.json");

  final String id;
  final String host;
  final String service;
  final int inbound;
  final int outbound;
  final int control;
  final int target;
  private final int readiness;
  private final Path settings;
  private final Path log;
  private Process process;

  /** Chooses the ports of a node and writes its settings. */
  Node(Path work, String id, String host, String zone, String service, Store store)
      throws IOException {
    this.id = id;
    this.host = host;
    this.service = service;
    int[] ports = freePorts(host, 7);
    inbound = ports[0];
    outbound = ports[1];
    control = ports[2];
    target = ports[3];
    readiness = ports[4];
    settings = work.resolve(id + ".json");
    log = work.resolve(id + ".log");
    String text = Files.readString(TEMPLATE);
    text = text.replaceAll("(?s)\\{\\{#seedAddrs\\}\\}.*?\\{\\{/seedAddrs\\}\\}", "");
    String[][] values = {
      {"nodeId", id},
      {"ip", host},
      {"region", "muscat"},
      {"zone", zone},
      {"service", service},
      {"appAddr", host + ":" + target},
      {"listen.inbound", host + ":" + inbound},
      {"listen.outbound", host + ":" + outbound},
      {"listen.control", host + ":" + control},
      {"listen.readinessAddr", host + ":" + readiness},
      {"portRange.0", "" + ports[5]},
      {"portRange.1", "" + ports[6]},
      {"platform.address", store.address()},
      {"heartbeatMs", "1500"},
      {"bounds.graceS", "6"},
    };
    for (String[] value : values) {
      text = text.replace("{{" + value[0] + "}}", value[1]);
    }
    if (text.contains("{{")) {
      throw new IOException("a placeholder of " + TEMPLATE + " has no value");
    }
    Files.writeString(settings, text);
  }

  /** Starts the process. */
  void start() throws IOException {
    ProcessBuilder builder = new ProcessBuilder(command());
    builder.environment().put("ARBUTUSROAD_CONFIG", settings.toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
    process = builder.start();
  }

  private static List<String> command() throws IOException {
    for (String line : Files.readAllLines(DEPLOY_FILE)) {
      if (line.startsWith("run = \"")) {
        String run = line.substring("run = \"".length(), line.lastIndexOf('"'));
        return new ArrayList<>(List.of(run.split(" ")));
      }
    }
    throw new IOException(DEPLOY_FILE + " has no run line");
  }

  /** Waits until the node answers its readiness check with 200. */
  boolean awaitReady(long millis) throws InterruptedException {
    long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    while (System.nanoTime() < endNanos) {
      if (isReady()) {
        return true;
      }
      Thread.sleep(50);
    }
    return false;
  }

  private boolean isReady() {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(host, readiness), 500);
      socket.setSoTimeout(500);
      socket
          .getOutputStream()
          .write(
              ("GET /ready HTTP/1.1\r\nHost: " + host + "\r\nConnection: close\r\n\r\n")
                  .getBytes(StandardCharsets.US_ASCII));
      return Http.readAnswer(socket.getInputStream()).status() == 200;
    } catch (IOException e) {
      return false;
    }
  }

  /** Returns whether the process runs. */
  boolean isRunning() {
    return process != null && process.isAlive();
  }

  /** Sends SIGKILL and waits for the end of the process. */
  void kill() throws InterruptedException {
    process.destroyForcibly();
    process.waitFor(5, TimeUnit.SECONDS);
  }

  /** Returns the lines of the log that contain a text. */
  List<String> logLines(String text) throws IOException {
    return Files.readAllLines(log).stream().filter(line -> line.contains(text)).toList();
  }

  @Override
  public void close() {
    if (process != null) {
      process.destroyForcibly();
    }
  }

  /** Picks ports below the range that the kernel gives to outgoing connections. */
  private static int[] freePorts(String host, int count) throws IOException {
    List<ServerSocket> sockets = new ArrayList<>();
    int[] ports = new int[count];
    try {
      while (sockets.size() < count) {
        int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, LAST_PORT);
        ServerSocket socket = new ServerSocket();
        try {
          socket.bind(new InetSocketAddress(host, port));
          ports[sockets.size()] = port;
          sockets.add(socket);
        } catch (BindException e) {
          socket.close();
        }
      }
    } finally {
      for (ServerSocket socket : sockets) {
        socket.close();
      }
    }
    return ports;
  }
}
