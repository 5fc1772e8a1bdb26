package dev.arbutusroad.core.config;

/** A property of a call that policy rules can set. */
public enum PolicyProperty {
  IMPORTANCE(0, "importance", CallPolicy.MIN_IMPORTANCE, CallPolicy.MAX_IMPORTANCE, 40),
  UNREPEATABLE(1, "unrepeatable", 0, 1, 0),
  RETRIES(2, "retries", 0, CallPolicy.MAX_RETRY_ALLOWANCE, 2),
  DEADLINE(3, "deadlineMs", 1, CallPolicy.MAX_DEADLINE_MILLIS, 10_000);

  private final int slot;
  private final String key;
  private final long min;
  private final long max;
  private final long builtInDefault;

  PolicyProperty(int slot, String key, long min, long max, long builtInDefault) {
    this.slot = slot;
    this.key = key;
    this.min = min;
    this.max = max;
    this.builtInDefault = builtInDefault;
  }

  /** Returns the position of the property in packed tables, from 0. */
  int slot() {
    return slot;
  }

  /** Returns the key in configuration documents. */
  public String key() {
    return key;
  }

  /** Returns the smallest allowed value. */
  public long min() {
    return min;
  }

  /** Returns the greatest allowed value. */
  public long max() {
    return max;
  }

  /** Returns the value if neither a rule nor the defaults of the configuration set it. */
  public long builtInDefault() {
    return builtInDefault;
  }

  /** Returns whether the property is a boolean, represented by the values 1 and 0. */
  public boolean isBoolean() {
    return this == UNREPEATABLE;
  }

  /** Formats a value as in a configuration document. */
  public String format(long value) {
    return isBoolean() ? String.valueOf(value != 0) : String.valueOf(value);
  }

  @Override
  public String toString() {
    return key;
  }
}
