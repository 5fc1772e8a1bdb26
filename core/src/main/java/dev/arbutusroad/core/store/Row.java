package dev.arbutusroad.core.store;

import java.util.Objects;

/**
 * A row of the table service.
 *
 * @param key the key
 * @param value the value, at most 128 KiB of UTF-8
 * @param version grows with each write of the row; from a counter of the whole table, at least 1
 */
public record Row(String key, String value, long version) {
  public Row {
    Objects.requireNonNull(key, "key");
    Objects.requireNonNull(value, "value");
  }
}
