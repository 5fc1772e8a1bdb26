package dev.arbutusroad.node.membership;

import java.util.Map;
import java.util.concurrent.atomic.LongAdder;

/** Counts the control messages of this node. */
final class PeerTraffic {
  final LongAdder datagramsSent = new LongAdder();
  final LongAdder datagramBytesSent = new LongAdder();
  final LongAdder datagramsReceived = new LongAdder();
  final LongAdder datagramBytesReceived = new LongAdder();
  final LongAdder datagramsWrongMac = new LongAdder();
  final LongAdder datagramsMalformed = new LongAdder();
  final LongAdder connectionsRefused = new LongAdder();
  final LongAdder exchangesFailed = new LongAdder();
  final LongAdder streamBytesSent = new LongAdder();
  final LongAdder streamBytesReceived = new LongAdder();

  Map<String, Long> snapshot() {
    return Map.of(
        "datagramsSent", datagramsSent.sum(),
        "datagramBytesSent", datagramBytesSent.sum(),
        "datagramsReceived", datagramsReceived.sum(),
        "datagramBytesReceived", datagramBytesReceived.sum(),
        "datagramsWrongMac", datagramsWrongMac.sum(),
        "datagramsMalformed", datagramsMalformed.sum(),
        "connectionsRefused", connectionsRefused.sum(),
        "exchangesFailed", exchangesFailed.sum(),
        "streamBytesSent", streamBytesSent.sum(),
        "streamBytesReceived", streamBytesReceived.sum());
  }
}
