package dev.arbutusroad.node.datapath;

import io.netty.handler.codec.http.HttpHeaders;

/** Makes one attempt of a call. */
interface HopListener {
  /** Adds the headers of this attempt to those that are passed on. */
  void addHeaders(HttpHeaders headers);

  /** Takes the outcome; called once, unless the attempt is cancelled. */
  void attemptEnded(HopOutcome outcome);
}
