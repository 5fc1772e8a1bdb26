package dev.arbutusroad.core.store;

import java.util.Objects;

/**
 * A row of the platform's table.
 *
 * @param key the key
 * @param value the value, at most 128 KiB of UTF-8
 * @param version increases with each write of the row; taken from a counter of the whole table, at
 *     least 1
 */
public record Row(String key, String value, long version) {
  public Row {
    Objects.requireNonNull(key, "key");
    Objects.requireNonNull(value, "value");
  }
}
