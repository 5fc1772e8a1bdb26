package dev.arbutusroad.http;

/**
 * Told how one attempt went: exactly one method is called, once, unless the attempt is cancelled.
 */
public interface AttemptListener {
  /** The other side answered; the body may still be on its way. */
  void answered(Answer answer);

  /**
   * There is no answer.
   *
   * @param sent whether a byte of the request may have reached the other side
   */
  void failed(Throwable cause, boolean sent);
}
