package dev.arbutusroad.core.selector;

/** The comparison that a requirement makes with the value of an attribute. */
public enum Operator {
  /** The value is present and equal: {@code a = b}. */
  EQUAL,
  /** The value is absent or differs: {@code a != b}. */
  NOT_EQUAL,
  /** The value is present and one of the list: {@code a in (b, c)}. */
  IN,
  /** The value is absent or none of the list: {@code a notin (b, c)}. */
  NOT_IN,
  /** The value is present: {@code a}. */
  PRESENT,
  /** The value is absent: {@code !a}. */
  ABSENT,
  /** The value is present and starts with a prefix: {@code a ^= b}. */
  PREFIX
}
