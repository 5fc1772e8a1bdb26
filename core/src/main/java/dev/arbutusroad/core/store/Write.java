package dev.arbutusroad.core.store;

import java.util.Objects;
import java.util.Optional;

/**
 * A conditional write of a commit.
 *
 * @param key the key of the row
 * @param value the new value; empty deletes the row
 * @param expectedVersion the required version of the row; {@link #ABSENT} if it must not exist
 */
public record Write(String key, Optional<String> value, long expectedVersion) {
  /** The expected version of a row that must not exist. */
  public static final long ABSENT = 0;

  public Write {
    Objects.requireNonNull(key, "key");
    Objects.requireNonNull(value, "value");
  }

  /** Returns the insertion of a row that must not exist. */
  public static Write insert(String key, String value) {
    return new Write(key, Optional.of(value), ABSENT);
  }

  /** Returns the replacement of a row that must have the given version. */
  public static Write replace(String key, String value, long expectedVersion) {
    return new Write(key, Optional.of(value), expectedVersion);
  }
}
