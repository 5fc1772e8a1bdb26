import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A stand-in for the platform's store: rows, transactions and the change feed, all in memory and
 * without faults. Keeps the part of each row empty, as the nodes do.
 */
final class Store implements AutoCloseable {
  private static final long MAX_WAIT_MILLIS = 30_000;

  private record Row(String table, String key, String value, long version) {
    String json() {
      return String.format(
          "{\"table\":\"%s\",\"part\":\"\",\"key\":\"%s\",\"value\":\"%s\",\"ver\":%d%s}",
          table, key, value, version, value.isEmpty() ? ",\"tombstone\":true" : "");
    }
  }

  private final Map<String, Row> rows = new TreeMap<>();
  private final ExecutorService threads = Executors.newCachedThreadPool(Store::daemon);
  private final HttpServer server;
  private long version = 1;
  private volatile boolean closed;

  Store(String host) throws IOException {
    server = HttpServer.create(new InetSocketAddress(host, 0), 0);
    server.setExecutor(threads);
    server.createContext("/rows-get", this::get);
    server.createContext("/rows-feed", this::feed);
    server.createContext("/rows-tx", this::transact);
    server.start();
  }

  static Thread daemon(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    return thread;
  }

  /** Returns the address of the store. */
  String address() {
    InetSocketAddress address = server.getAddress();
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  /** Writes a row, as the operator does. */
  synchronized void put(String table, String key, String text) {
    String value = Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
    rows.put(table + "/" + key, new Row(table, key, value, ++version));
    notifyAll();
  }

  private void get(HttpExchange exchange) throws IOException {
    Map<String, String> query = query(exchange);
    String from = query.getOrDefault("from", "");
    String to = query.getOrDefault("to", "");
    int limit = Integer.parseInt(query.getOrDefault("limit", "500"));
    List<Row> found = new ArrayList<>();
    synchronized (this) {
      for (Row row : rows.values()) {
        boolean inRange =
            row.table.equals(query.get("table"))
                && row.key.compareTo(from) >= 0
                && (to.isEmpty() || row.key.compareTo(to) < 0)
                && !row.value.isEmpty();
        if (inRange && found.size() < limit) {
          found.add(row);
        }
      }
    }
    answer(exchange, 200, found);
  }

  private void feed(HttpExchange exchange) throws IOException {
    Map<String, String> query = query(exchange);
    long after = Long.parseLong(query.get("after"));
    long wait = Math.min(MAX_WAIT_MILLIS, Long.parseLong(query.getOrDefault("waitMs", "0")));
    long endNanos = System.nanoTime() + wait * 1_000_000;
    List<Row> changed = changed(query.get("table"), after);
    while (changed.isEmpty() && System.nanoTime() < endNanos && !closed) {
      try {
        Thread.sleep(5);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
      changed = changed(query.get("table"), after);
    }
    answer(exchange, 200, changed);
  }

  private synchronized List<Row> changed(String table, long after) {
    return rows.values().stream()
        .filter(row -> row.table.equals(table) && row.version > after)
        .sorted((a, b) -> Long.compare(a.version, b.version))
        .toList();
  }

  private static final Pattern ENTRY = Pattern.compile("\\{[^{}]*\\}");

  private void transact(HttpExchange exchange) throws IOException {
    String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
    List<String> preconditions = entries(body, "precondition");
    List<Row> current = new ArrayList<>();
    boolean applies = true;
    synchronized (this) {
      for (String entry : preconditions) {
        Row row = rows.get(field(entry, "table") + "/" + field(entry, "key"));
        long actual = row == null || row.value.isEmpty() ? 0 : row.version;
        applies &= actual == Long.parseLong(field(entry, "ver"));
        if (actual != 0) {
          current.add(row);
        }
      }
      if (applies) {
        version++;
        for (String entry : entries(body, "puts")) {
          store(entry, field(entry, "value"));
        }
        for (String entry : entries(body, "remove")) {
          store(entry, "");
        }
      }
    }
    answer(exchange, applies ? 200 : 412, applies ? List.of() : current);
  }

  private void store(String entry, String value) {
    String table = field(entry, "table");
    String key = field(entry, "key");
    rows.put(table + "/" + key, new Row(table, key, value, version));
  }

  private static List<String> entries(String body, String list) {
    int start = body.indexOf("\"" + list + "\"");
    if (start < 0) {
      return List.of();
    }
    Matcher matcher = ENTRY.matcher(body.substring(start, body.indexOf(']', start)));
    List<String> found = new ArrayList<>();
    while (matcher.find()) {
      found.add(matcher.group());
    }
    return found;
  }

  private static String field(String entry, String name) {
    Matcher matcher =
        Pattern.compile("\"" + name + "\"\\s*:\\s*(?:\"([^\"]*)\"|(\\d+))").matcher(entry);
    if (!matcher.find()) {
      return "";
    }
    return matcher.group(1) != null ? matcher.group(1) : matcher.group(2);
  }

  private static Map<String, String> query(HttpExchange exchange) {
    Map<String, String> query = new HashMap<>();
    for (String pair : exchange.getRequestURI().getRawQuery().split("&")) {
      int equals = pair.indexOf('=');
      query.put(
          pair.substring(0, equals),
          URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
    }
    return query;
  }

  private void answer(HttpExchange exchange, int status, List<Row> found) throws IOException {
    String list = String.join(",", found.stream().map(Row::json).toList());
    long newest;
    synchronized (this) {
      newest = version;
    }
    byte[] body =
        String.format(
                "{\"rows\":[%s],\"hasMore\":false,\"ver\":%d,\"nowMs\":%d}",
                list, newest, System.nanoTime() / 1_000_000)
            .getBytes(StandardCharsets.UTF_8);
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.sendResponseHeaders(status, body.length);
    exchange.getResponseBody().write(body);
    exchange.close();
  }

  @Override
  public void close() {
    closed = true;
    server.stop(0);
    threads.shutdownNow();
  }
}
