package dev.arbutusroad.node.datapath;

import dev.arbutusroad.core.edge.CallMetadata;
import dev.arbutusroad.core.edge.CallProtocol;
import dev.arbutusroad.core.fatal.Fingerprint;
import dev.arbutusroad.core.label.CallAttributes;
import dev.arbutusroad.core.label.Labels;
import dev.arbutusroad.core.route.Route;
import dev.arbutusroad.http.Exchange;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * A request as it was received, with the arbutus headers parsed and removed.
 *
 * @param exchange the request, with only the headers that may be forwarded, and its answer
 * @param service the destination service, empty if the request names none
 * @param requestId identifies the caller's attempt in logs
 * @param labels the labels sent with the request
 * @param orderKey the caller's key of an unrepeatable order
 * @param deadlineMillis the caller's own time limit
 * @param token the token of the inbound call on whose behalf a target sent the request
 * @param context the encoded context from another node
 */
record ReceivedCall(
    Exchange exchange,
    Optional<String> requestId,
    String service,
    Labels labels,
    Optional<String> orderKey,
    Optional<Long> deadlineMillis,
    Optional<String> token,
    Optional<String> context) {
  private static final int MAX_LABELS = 32;
  private static final int MAX_LABEL_LENGTH = 256;

  /** Parses the arbutus headers and removes them and the hop-by-hop headers from the request. */
  static ReceivedCall of(Exchange exchange, CallProtocol protocol) {
    HttpHeaders headers = exchange.request().headers();
    String service = service(headers);
    Labels labels = labels(headers);
    CallMetadata metadata = protocol.readMetadata(new MessageHeaderFields(headers));
    Optional<String> ownToken = ArbutusHeaders.text(headers, ArbutusHeaders.CALL);
    Optional<String> token = ownToken.isPresent() ? ownToken : metadata.parentId();
    Optional<String> context = ArbutusHeaders.text(headers, ArbutusHeaders.CONTEXT);
    ArbutusHeaders.removeAll(headers);
    HopByHopHeaders.remove(headers);
    return new ReceivedCall(
        exchange,
        metadata.requestId(),
        service,
        labels,
        metadata.orderKey(),
        metadata.deadlineMillis(),
        token,
        context);
  }

  /** Returns this call for the destination of a route, with the route's labels. */
  ReceivedCall withRoute(Route route, String destination) {
    return new ReceivedCall(
        exchange, requestId, destination, route.labels(), orderKey, deadlineMillis, token, context);
  }

  /** Returns this call with another exchange for its answer. */
  ReceivedCall withExchange(Exchange other) {
    return new ReceivedCall(
        other, requestId, service, labels, orderKey, deadlineMillis, token, context);
  }

  /** Returns the head of the request. */
  HttpRequest request() {
    return exchange.request();
  }

  /** Returns the path of the request, without the query. */
  String path() {
    String target = request().uri();
    int query = target.indexOf('?');
    return query < 0 ? target : target.substring(0, query);
  }

  /** Returns the value of the host header; empty if there is none. */
  String host() {
    return ArbutusHeaders.text(request().headers(), HttpHeaderNames.HOST.toString()).orElse("");
  }

  /** Returns whether the request has a host header, which HTTP/1.0 does not require. */
  boolean namesHost() {
    return request().headers().contains(HttpHeaderNames.HOST)
        || request().protocolVersion().equals(HttpVersion.HTTP_1_0);
  }

  /** Returns the id of the request for logs, or {@code -}. */
  String id() {
    return requestId.orElse("-");
  }

  /** Returns the attributes that the selectors of the configuration match. */
  CallAttributes attributes(String caller) {
    return new CallAttributes(service, request().method().name(), path(), caller, labels);
  }

  /** Returns the fingerprint under which this request is known if it crashes targets. */
  Fingerprint fingerprint(RequestBody body) {
    return Fingerprint.of(
        service,
        request().method().name(),
        request().uri(),
        body.prefix(Fingerprint.BODY_BYTES),
        orderKey);
  }

  /** Adds the service, the labels and the order key, for the next node. */
  void addForwardedHeaders(HttpHeaders headers) {
    if (!labels.isEmpty()) {
      labels
          .asMap()
          .forEach((name, value) -> headers.set(ArbutusHeaders.LABEL_PREFIX + name, value));
    }
    if (orderKey.isPresent()) {
      headers.set(ArbutusHeaders.ORDER_KEY, orderKey.orElseThrow());
    }
    headers.set(ArbutusHeaders.SERVICE, service);
  }

  private static String service(HttpHeaders headers) {
    Optional<String> named = ArbutusHeaders.text(headers, ArbutusHeaders.SERVICE);
    if (named.isPresent()) {
      return named.orElseThrow();
    }
    String name = headers.get(HttpHeaderNames.HOST);
    if (name == null) {
      return "";
    }
    int end = 0;
    while (end < name.length() && name.charAt(end) != '.' && name.charAt(end) != ':') {
      end++;
    }
    return name.substring(0, end);
  }

  private static Labels labels(HttpHeaders headers) {
    SortedMap<String, String> found = null;
    for (Iterator<Map.Entry<CharSequence, CharSequence>> headerIterator =
            headers.iteratorCharSequence();
        headerIterator.hasNext(); ) {
      Map.Entry<CharSequence, CharSequence> header = headerIterator.next();
      boolean withinLimit = header.getValue().length() <= MAX_LABEL_LENGTH;
      if (withinLimit && ArbutusHeaders.isLabel(header.getKey())) {
        found = found == null ? new TreeMap<>() : found;
        if (found.size() < MAX_LABELS) {
          found.put(ArbutusHeaders.labelName(header.getKey()), header.getValue().toString());
        }
      }
    }
    return found == null ? Labels.empty() : Labels.of(found);
  }
}
