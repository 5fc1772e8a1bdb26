package dev.arbutusroad.node.datapath;

import static org.assertj.core.api.Assertions.assertThat;

import dev.arbutusroad.core.net.Addresses;
import dev.arbutusroad.core.resource.Closer;
import dev.arbutusroad.core.settings.Limits;
import dev.arbutusroad.core.time.Ticker;
import dev.arbutusroad.http.EventLoopThread;
import dev.arbutusroad.http.HttpListener;
import dev.arbutusroad.node.claim.NoClaims;
import dev.arbutusroad.platform.PlatformAnnouncements;
import dev.arbutusroad.platform.PlatformCallProtocol;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against entries of another writer that displace the local target: its own reports would be
 * acknowledged and ignored, and with them its departure.
 */
@Timeout(60)
final class AnnouncementServiceTest {
  private static final int OK = 200;
  private static final int BAD_REQUEST = 400;

  private final Closer closer = new Closer();
  private final EventLoopThread thread = closer.register(EventLoopThread.start("data-path"));
  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private final List<String> changes = new CopyOnWriteArrayList<>();
  private HttpListener listener;

  @BeforeEach
  void listen() throws IOException {
    DataPathOptions options =
        new DataPathOptions(
            "n1",
            "r",
            "d",
            LoopbackNodes.SECRET,
            Limits.defaults(),
            new PlatformCallProtocol(),
            Optional.of("orders"),
            Optional.empty(),
            line -> {});
    DataPath dataPath =
        new DataPath(
            thread,
            options,
            Optional::empty,
            () -> {
              throw new UnsupportedOperationException();
            },
            new ChangeRecorder(),
            new LoopbackNodes.FakeNodeContext(),
            new NoClaims(),
            DepartureLog.none(),
            Long.MIN_VALUE,
            Ticker.system());
    listener =
        HttpListener.start(
            thread,
            Addresses.of("127.0.0.1", 0),
            new AnnouncementService(dataPath, new PlatformAnnouncements()));
    closer.register(listener::close);
  }

  @AfterEach
  void close() throws IOException {
    closer.close();
  }

  @Test
  void oddReportsDoNotDisplaceTheTarget() throws Exception {
    long born = System.currentTimeMillis();
    assertThat(put("a", "orders", "" + born, 1, "ready")).isEqualTo(OK);
    assertThat(put("odd", "nobody", "" + (born + 1), 1, "ready")).isEqualTo(BAD_REQUEST);
    assertThat(put("odd", "orders", "1e300", 1, "ready")).isEqualTo(BAD_REQUEST);
    assertThat(put("odd", "orders", "9" + born, 1, "ready")).isEqualTo(BAD_REQUEST);
    assertThat(send("PUT", "odd", "[".repeat(9_000))).isEqualTo(BAD_REQUEST);
    assertThat(send("DELETE", "%25zz", "")).isEqualTo(OK);
    assertThat(changes).containsExactly("serving orders");
    assertThat(put("a", "orders", "" + born, 2, "draining")).isEqualTo(OK);
    assertThat(changes).containsExactly("serving orders", "leaving");
  }

  private int put(String id, String service, String born, int sequence, String state)
      throws Exception {
    return send(
        "PUT",
        id,
        ("{'address':'127.0.0.1:9','born':%s,'info':{'service':'%s','slots':4},"
                + "'status':{'state':'%s','seq':%d}}")
            .formatted(born, service, state, sequence)
            .replace('\'', '"'));
  }

  private int send(String method, String id, String body) throws Exception {
    URI uri = URI.create("http://" + Addresses.format(listener.address()) + "/instances/" + id);
    return client
        .send(
            HttpRequest.newBuilder(uri)
                .method(method, HttpRequest.BodyPublishers.ofString(body))
                .build(),
            HttpResponse.BodyHandlers.ofString())
        .statusCode();
  }

  private final class ChangeRecorder implements TargetListener {
    @Override
    public void serving(String service) {
      changes.add("serving " + service);
    }

    @Override
    public void leaving() {
      changes.add("leaving");
    }

    @Override
    public void lost() {
      changes.add("lost");
    }
  }
}
