package dev.arbutusroad.tools.trace;

/** Checks of values read from files. */
final class Require {
  private Require() {}

  static void that(boolean valid, String message) {
    if (!valid) {
      throw new IllegalArgumentException(message);
    }
  }
}
