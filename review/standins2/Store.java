import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The platform's store: rows-get, rows-feed and rows-tx, in one part. */
final class Store implements AutoCloseable {
  private record Row(String value, long version) {}

  private static final Pattern ROW = Pattern.compile("\\{[^{}]*\\}");

  final int port;
  private final ServerSocket server;
  private final TreeMap<String, Row> rows = new TreeMap<>();
  private long version;

  /** {@code ok}, {@code busy} (503) or {@code silent} (no answer). */
  volatile String mode = "ok";

  Store() throws IOException {
    server = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
    port = server.getLocalPort();
    Bed.thread(this::accept);
  }

  /** Writes a row as the operator does; returns when it is acknowledged. */
  synchronized void put(String table, String key, String text) {
    version++;
    String value = Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
    rows.put(table + "/" + key, new Row(value, version));
    notifyAll();
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        Socket socket = server.accept();
        Bed.thread(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (Wire wire = new Wire(socket)) {
      for (Wire.Head head = wire.readHead(); head != null; head = wire.readHead()) {
        String body = new String(wire.readBody(head, false), StandardCharsets.UTF_8);
        if (mode.equals("silent")) {
          wire.stayOpen(60_000);
          return;
        }
        String answer = mode.equals("busy") ? "503 {}" : answer(head.target(), body);
        if (answer.isEmpty()) {
          return;
        }
        Thread.sleep(4);
        byte[] bytes = answer.substring(4).getBytes(StandardCharsets.UTF_8);
        wire.send(
            "HTTP/1.1 "
                + answer.substring(0, 3)
                + " X\r\nContent-Type: application/json\r\nContent-Length: "
                + bytes.length
                + "\r\n\r\n",
            bytes);
        if (head.closes()) {
          return;
        }
      }
    } catch (IOException | InterruptedException e) {
      // The caller has gone.
    }
  }

  private String answer(String target, String body) throws InterruptedException {
    String path = target.split("\\?")[0];
    Map<String, String> query = new HashMap<>();
    if (target.contains("?")) {
      for (String pair : target.split("\\?")[1].split("&")) {
        String[] parts = pair.split("=", 2);
        query.put(parts[0], URLDecoder.decode(parts[1], StandardCharsets.UTF_8));
      }
    }
    String prefix = query.getOrDefault("table", "") + "/";
    switch (path) {
      case "/rows-get":
        return get(prefix, query);
      case "/rows-feed":
        return feed(prefix, query);
      case "/rows-tx":
        return commit(body);
      default:
        return "404 {}";
    }
  }

  private synchronized String get(String prefix, Map<String, String> query) {
    List<String> found = new ArrayList<>();
    int limit = Integer.parseInt(query.getOrDefault("limit", "500"));
    String to = query.get("to");
    rows.forEach(
        (name, row) -> {
          if (name.startsWith(prefix)
              && found.size() < limit
              && name.substring(prefix.length()).compareTo(query.getOrDefault("from", "")) >= 0
              && (to == null || name.substring(prefix.length()).compareTo(to) < 0)) {
            found.add(json(name, row));
          }
        });
    return "200 {\"rows\":[" + String.join(",", found) + "],\"hasMore\":false," + tail();
  }

  private synchronized String feed(String prefix, Map<String, String> query)
      throws InterruptedException {
    long after = Long.parseLong(query.get("after"));
    long end = System.nanoTime() + Long.parseLong(query.get("waitMs")) * 1_000_000;
    while (true) {
      List<String> found = new ArrayList<>();
      rows.forEach(
          (name, row) -> {
            if (name.startsWith(prefix) && row.version > after) {
              found.add(json(name, row));
            }
          });
      long left = (end - System.nanoTime()) / 1_000_000;
      if (!mode.equals("ok")) {
        return "";
      }
      if (!found.isEmpty() || left <= 0) {
        return "200 {\"rows\":[" + String.join(",", found) + "]," + tail();
      }
      wait(Math.min(left, 100));
    }
  }

  private synchronized String commit(String body) {
    int puts = body.indexOf("\"puts\"");
    int remove = body.indexOf("\"remove\"");
    Matcher conditions = ROW.matcher(body.substring(body.indexOf("\"precondition\""), puts));
    List<String> current = new ArrayList<>();
    boolean holds = true;
    while (conditions.find()) {
      String name = name(conditions.group());
      Row row = rows.get(name);
      long expected = Long.parseLong(field(conditions.group(), "ver"));
      holds &= expected == (row == null ? 0 : row.version);
      if (row != null) {
        current.add(json(name, row));
      }
    }
    if (!holds) {
      return "412 {\"rows\":[" + String.join(",", current) + "]," + tail();
    }
    version++;
    Matcher writes = ROW.matcher(body.substring(puts, remove));
    while (writes.find()) {
      rows.put(name(writes.group()), new Row(field(writes.group(), "value"), version));
    }
    Matcher removals = ROW.matcher(body.substring(remove));
    while (removals.find()) {
      rows.remove(name(removals.group()));
    }
    notifyAll();
    return "200 {" + tail();
  }

  private String tail() {
    return "\"ver\":" + version + ",\"nowMs\":" + System.nanoTime() / 1_000_000 + "}";
  }

  private static String name(String json) {
    return field(json, "table") + "/" + field(json, "key");
  }

  static String field(String json, String name) {
    Matcher found = Pattern.compile("\"" + name + "\":(\"([^\"]*)\"|[0-9]+)").matcher(json);
    if (!found.find()) {
      return "";
    }
    return found.group(2) == null ? found.group(1) : found.group(2);
  }

  private static String json(String name, Row row) {
    String[] parts = name.split("/", 2);
    return "{\"table\":\"%s\",\"part\":\"\",\"key\":\"%s\",\"value\":\"%s\",\"ver\":%d}"
        .formatted(parts[0], parts[1], row.value, row.version);
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
