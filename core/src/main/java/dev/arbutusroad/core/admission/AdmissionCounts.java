package dev.arbutusroad.core.admission;

import dev.arbutusroad.core.result.ResultCode;

/** Counts the admission decisions of one controller. */
final class AdmissionCounts {
  long started;
  long shed;
  long queueFull;
  long expired;
  long cancelled;

  void countRefusal(ResultCode code) {
    switch (code) {
      case SHED -> shed++;
      case QUEUE_FULL -> queueFull++;
      case EXPIRED_IN_QUEUE -> expired++;
      default -> throw new IllegalArgumentException("not an admission refusal: " + code);
    }
  }
}
