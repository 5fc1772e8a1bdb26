package dev.arbutusroad.core.admission;

import dev.arbutusroad.core.result.ResultCode;

/**
 * Receives the admission decision for a call. Exactly one method is called, once, unless the call
 * is cancelled while it is queued.
 */
public interface AdmissionCallback {
  /** Starts the call. It must be released when it has ended. */
  void start();

  /** Refuses the call, which has not run. */
  void refuse(ResultCode code);
}
