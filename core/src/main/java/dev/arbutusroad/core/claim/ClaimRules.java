package dev.arbutusroad.core.claim;

import dev.arbutusroad.core.result.ResultCode;
import java.util.Optional;

/**
 * The rules that make an order run at most once.
 *
 * <p>A read may return a stale version of a row. Stale reads are safe, because every write is a
 * compare-and-set on the version that was read, and because a claim, once made, becomes free only
 * when its own holder writes the state {@code RELEASED}.
 */
public final class ClaimRules {
  /** The version of an absent row. */
  public static final long ABSENT = 0;

  private ClaimRules() {}

  /** The value and the version of a row that was read. */
  public record ReadRow(ClaimRow row, long version) {}

  /**
   * Returns the next step of an attempt to claim an order after it has read the row.
   *
   * @param token this attempt's token
   * @param expectedVersion the precondition of the last write of this attempt
   * @param read the row; empty if absent
   */
  public static ClaimStep afterRead(String token, long expectedVersion, Optional<ReadRow> read) {
    long version = read.map(ReadRow::version).orElse(ABSENT);
    if (read.isEmpty()) {
      return version < expectedVersion ? new ClaimStep.Wait() : new ClaimStep.Write(ABSENT);
    }
    ClaimRow row = read.get().row();
    return switch (row.state()) {
      case STARTED -> row.token().equals(token) ? new ClaimStep.Run(version) : new ClaimStep.Wait();
      case DONE ->
          row.answer()
              .<ClaimStep>map(ClaimStep.Answer::new)
              .orElseGet(() -> new ClaimStep.Refuse(ResultCode.ANSWER_NOT_KEPT));
      case UNKNOWN -> new ClaimStep.Refuse(ResultCode.OUTCOME_UNKNOWN);
      case RELEASED ->
          version < expectedVersion ? new ClaimStep.Wait() : new ClaimStep.Write(version);
    };
  }

  /**
   * Returns the code of an attempt that ends without a claim and without a recorded result.
   *
   * <p>A conflict shows that there is another attempt under the same key. The order may then have
   * run, so "not run" would be wrong even though this attempt did not run it.
   *
   * @param sawStarted whether a read showed that another attempt holds the claim
   * @param sawConflict whether a write of this attempt met a conflict
   */
  public static ResultCode undecidedCode(boolean sawStarted, boolean sawConflict) {
    if (sawStarted) {
      return ResultCode.ORDER_IN_PROGRESS;
    }
    return sawConflict ? ResultCode.OUTCOME_UNKNOWN : ResultCode.PLATFORM_UNAVAILABLE;
  }

  /**
   * Returns the next step of the holder of a claim that writes its final state, after the write met
   * a conflict or its answer was lost and the row was read.
   *
   * @param settled the row in its final state
   * @param expectedVersion the precondition of that write, and of a claim write of this attempt
   *     that may still take effect
   * @param read the row; empty if absent
   */
  public static SettleStep afterSettleRead(
      ClaimRow settled, long expectedVersion, Optional<ReadRow> read) {
    if (read.isEmpty()) {
      return new SettleStep.Retry();
    }
    ClaimRow row = read.get().row();
    long version = read.get().version();
    if (row.token().equals(settled.token())) {
      return row.state() == ClaimState.STARTED
          ? new SettleStep.Write(version)
          : new SettleStep.Finished();
    }
    // Another attempt has written a version above the precondition, so no write of this attempt can
    // take effect any more.
    return version > expectedVersion ? new SettleStep.Finished() : new SettleStep.Retry();
  }
}
