package dev.arbutusroad.core.store;

import java.util.List;

/**
 * The answer of the table to a commit that was decided.
 *
 * @param applied whether the writes took effect; they do so all together or not at all
 * @param conflicts the keys whose precondition failed; empty when applied
 * @param version the version that all written rows have now; 0 when not applied
 */
public record CommitResult(boolean applied, List<String> conflicts, long version) {
  public CommitResult {
    conflicts = List.copyOf(conflicts);
  }

  /** The writes took effect and gave their rows this version. */
  public static CommitResult applied(long version) {
    return new CommitResult(true, List.of(), version);
  }

  /** The preconditions of these keys failed. */
  public static CommitResult conflict(List<String> keys) {
    return new CommitResult(false, keys, 0);
  }
}
