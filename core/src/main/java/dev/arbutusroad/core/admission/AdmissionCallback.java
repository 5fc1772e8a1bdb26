package dev.arbutusroad.core.admission;

import dev.arbutusroad.core.result.ResultCode;

/** What happens to a call that waits for admission. Exactly one method is called, once. */
public interface AdmissionCallback {
  /** The call may run now; it must be released when it ended. */
  void start();

  /** The call leaves the queue without having run. */
  void refuse(ResultCode code);
}
