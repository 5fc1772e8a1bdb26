import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A process of the project, started with the command and the template of the deploy file. */
final class Node {
  final String name;
  final String zone;
  final String service;
  final int inbound;
  final int outbound;
  final int readiness;
  final int control;
  final int peer;
  final int admin;
  final Backend backend;
  private final Bed bed;
  private final Path settings;
  volatile Process process;
  volatile long termMillis = Long.MAX_VALUE;
  /** When the process was started or got a signal. */
  final List<Long> disturbances = new java.util.concurrent.CopyOnWriteArrayList<>();

  Node(Bed bed, String name, String zone, String service, int slots) throws IOException {
    this.bed = bed;
    this.name = name;
    this.zone = zone;
    this.service = service;
    int[] ports = Bed.freePorts(7);
    inbound = ports[0];
    outbound = ports[1];
    readiness = ports[2];
    control = ports[3];
    peer = ports[4];
    admin = ports[5];
    backend = new Backend(bed, service, ports[6], slots);
    backend.control = control;
    settings = bed.folder.resolve(name + ".json");
  }

  void start() throws IOException {
    String deploy = Files.readString(bed.root.resolve("deploy/system.toml"));
    Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(deploy);
    if (!run.find()) {
      throw new IOException("no run line in the deploy file");
    }
    String text = Files.readString(bed.root.resolve("deploy/node-settings.json"));
    text = text.replaceAll("\\{\\{#seedAddrs}}.*\\{\\{/seedAddrs}}", "");
    String[][] values = {
      {"nodeId", name}, {"ip", "127.0.0.1"}, {"region", "r1"}, {"zone", zone},
      {"service", service}, {"appAddr", "127.0.0.1:" + backend.port},
      {"listen.inbound", "127.0.0.1:" + inbound}, {"listen.outbound", "127.0.0.1:" + outbound},
      {"listen.control", "127.0.0.1:" + control},
      {"listen.readinessAddr", "127.0.0.1:" + readiness},
      {"portRange.0", "" + peer}, {"portRange.1", "" + admin},
      {"platform.address", "127.0.0.1:" + bed.storePort},
      {"heartbeatMs", "1500"}, {"bounds.graceS", "6"}
    };
    for (String[] value : values) {
      text = text.replace("{{" + value[0] + "}}", value[1]);
    }
    if (text.contains("{{")) {
      throw new IOException("a field of the template is unknown: " + text);
    }
    Files.writeString(settings, text);
    List<String> command = new ArrayList<>(List.of(run.group(1).split(" ")));
    if (bed.maxDescriptors > 0) {
      command.addAll(0, List.of("bash", "-c", "ulimit -n " + bed.maxDescriptors + " && exec \"$@\"", "node"));
    }
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.directory(bed.root.toFile());
    builder.environment().put("ARBUTUSROAD_CONFIG", settings.toString());
    File log = bed.folder.resolve(name + ".log").toFile();
    builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
    disturbances.add(System.currentTimeMillis());
    termMillis = Long.MAX_VALUE;
    process = builder.start();
    bed.note(name + " started");
  }

  /** Returns whether nothing was done to the process in a span. */
  boolean isCalm(long fromMillis, long toMillis) {
    return disturbances.stream().noneMatch(at -> at >= fromMillis && at <= toMillis);
  }

  boolean isReady() {
    try (Wire wire = Wire.connect(readiness, 500)) {
      wire.socket.setSoTimeout(500);
      wire.send("GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
      Wire.Head head = wire.readHead();
      return head != null && head.status() == 200;
    } catch (IOException e) {
      return false;
    }
  }

  void signal(String signal) {
    disturbances.add(System.currentTimeMillis());
    if (signal.equals("TERM") && termMillis == Long.MAX_VALUE) {
      termMillis = System.currentTimeMillis();
    }
    bed.note(name + " gets SIG" + signal);
    try {
      new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    } catch (IOException | InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Stops the process as the platform does. */
  void stop(long graceMillis) {
    signal("TERM");
    awaitEnd(graceMillis);
    if (process.isAlive()) {
      signal("KILL");
      awaitEnd(2_000);
    }
  }

  void awaitEnd(long millis) {
    try {
      process.waitFor(millis, java.util.concurrent.TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }
}
