package dev.arbutusroad.node.datapath;

import io.netty.handler.codec.http.HttpHeaders;

/** Adds the request headers of one attempt of a call and receives its outcome. */
interface HopListener {
  /** Adds the headers of this attempt to the forwarded ones. */
  void addHeaders(HttpHeaders headers);

  /** Receives the outcome; called once, or never if the attempt is cancelled. */
  void attemptEnded(HopOutcome outcome);
}
