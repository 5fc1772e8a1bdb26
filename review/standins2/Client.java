import java.io.IOException;
import java.net.ConnectException;
import java.util.Arrays;
import java.util.concurrent.ThreadLocalRandom;

/** A client beside one node; keeps one connection, or opens one for each request. */
final class Client implements AutoCloseable {
  /** One attempt and what the client saw. */
  static final class Call {
    final String id;
    final Node node;
    final String method;
    final String target;
    final int bodyHash;
    final long deadlineMillis;
    final long sentMillis = System.currentTimeMillis();
    volatile long endMillis;

    /** The status; 0: no connection, -1: closed without an answer, -2: broken off, -3: gave up. */
    volatile int status;

    volatile String seal = "";
    volatile String answerId = "";
    volatile boolean whole;
    volatile String result = "";
    volatile boolean keptConnection;
    volatile String detail = "";

    Call(String id, Node node, String method, String target, byte[] body, long deadlineMillis) {
      this.id = id;
      this.node = node;
      this.method = method;
      this.target = target;
      bodyHash = Arrays.hashCode(body);
      this.deadlineMillis = deadlineMillis;
    }

    @Override
    public String toString() {
      return "%s %s %s at %s: %d after %d ms seal=%s whole=%s %s %s"
          .formatted(
              id, method, target, node.name, status, endMillis - sentMillis, !seal.isEmpty(), whole,
              result, detail);
    }
  }

  private final Bed bed;
  private final Node node;
  private Wire wire;

  /** Header lines that are added to each request. */
  String extraFields = "";

  Client(Bed bed, Node node) {
    this.bed = bed;
    this.node = node;
  }

  static String newId() {
    return "%016x".formatted(ThreadLocalRandom.current().nextLong());
  }

  Call call(String method, String target, byte[] body, long deadlineMillis, boolean fresh) {
    return call(method, target, body, deadlineMillis, fresh, 0);
  }

  /**
   * Sends a request and reads the answer.
   *
   * @param giveUpMillis closes the connection after this time if there is no answer; 0: never
   */
  Call call(
      String method, String target, byte[] body, long deadlineMillis, boolean fresh, long giveUpMillis) {
    Call call = new Call(newId(), node, method, target, body, deadlineMillis);
    bed.calls.put(call.id, call);
    try {
      if (fresh && wire != null) {
        wire.close();
        wire = null;
      }
      call.keptConnection = wire != null;
      if (wire == null) {
        wire = Wire.connect(node.outbound, 1_000);
      }
    } catch (IOException e) {
      call.status = 0;
      call.detail = e.toString();
      call.endMillis = System.currentTimeMillis();
      wire = null;
      return call;
    }
    try {
      wire.socket.setSoTimeout((int) (giveUpMillis > 0 ? giveUpMillis : deadlineMillis + 3_000));
      boolean chunked = body.length > 0 && call.id.charAt(0) < '4';
      StringBuilder head = new StringBuilder();
      head.append(method).append(' ').append(target).append(" HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: ");
      head.append(call.id).append("\r\nDeadline-Ms: ").append(deadlineMillis).append("\r\n");
      head.append(extraFields);
      if (chunked) {
        head.append("Transfer-Encoding: chunked\r\n\r\n");
        wire.send(head.toString());
        for (int at = 0; at < body.length; at += 8_000) {
          byte[] part = Arrays.copyOfRange(body, at, Math.min(body.length, at + 8_000));
          wire.send(Integer.toHexString(part.length) + "\r\n", part);
          wire.send("\r\n");
        }
        wire.send("0\r\n\r\n");
      } else {
        if (!method.equals("GET")) {
          head.append("Content-Length: ").append(body.length).append("\r\n");
        }
        wire.send(head.append("\r\n").toString(), body);
      }
      Wire.Head answer = wire.readHead();
      if (answer == null) {
        call.status = -1;
      } else {
        call.result = answer.field("arbutus-result");
        call.seal = answer.field("server-seal");
        call.answerId = answer.field("request-id");
        byte[] answerBody = wire.readBody(answer, true);
        call.status = answer.status();
        call.whole = Arrays.equals(answerBody, Bed.answerBody(call.id));
        if (answer.closes()) {
          wire.close();
          wire = null;
        }
      }
    } catch (java.net.SocketTimeoutException e) {
      call.status = -3;
      call.detail = "gave up";
    } catch (IOException | NumberFormatException e) {
      call.detail = e.toString();
      call.status = call.seal.isEmpty() && call.answerId.isEmpty() && call.result.isEmpty() ? -1 : -2;
    }
    if (call.status < 0 && wire != null) {
      wire.close();
      wire = null;
    }
    call.endMillis = System.currentTimeMillis();
    return call;
  }

  @Override
  public void close() {
    if (wire != null) {
      wire.close();
    }
  }
}
