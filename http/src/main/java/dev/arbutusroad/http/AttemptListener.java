package dev.arbutusroad.http;

/**
 * A listener for the result of one attempt. Exactly one method is called, once; none is called if
 * the attempt is cancelled first.
 */
public interface AttemptListener {
  /** Called when the head of the answer has arrived; the body may still be incomplete. */
  void answered(Answer answer);

  /**
   * Called when the attempt has failed without an answer.
   *
   * @param sent whether a byte of the request may have reached the server
   */
  void failed(Throwable cause, boolean sent);
}
