package dev.arbutusroad.core.store;

import java.util.List;

/**
 * The result of a commit that the table applied or rejected.
 *
 * @param applied whether the writes took effect; a commit is atomic
 * @param conflicts the keys whose precondition failed; empty if applied
 * @param version the version assigned to all written rows; 0 if not applied
 */
public record CommitResult(boolean applied, List<String> conflicts, long version) {
  public CommitResult {
    conflicts = List.copyOf(conflicts);
  }

  /** Returns the result of an applied commit. */
  public static CommitResult applied(long version) {
    return new CommitResult(true, List.of(), version);
  }

  /** Returns the result of a commit that was rejected because of these keys. */
  public static CommitResult conflict(List<String> keys) {
    return new CommitResult(false, keys, 0);
  }
}
