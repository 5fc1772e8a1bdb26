package dev.arbutusroad.core.testing;

/** Provides the seeds of randomized tests, from a system property or else from the clock. */
public final class Seeds {
  private static final String PROPERTY = "arbutusroad.seed";

  private Seeds() {}

  /** Returns the seed for a test and prints it, so that a failure can be reproduced. */
  public static long seed(String test) {
    Long configured = Long.getLong(PROPERTY);
    long seed = configured == null ? System.nanoTime() : configured;
    System.out.printf("event=seed test=%s %s=%d%n", test, PROPERTY, seed);
    return seed;
  }
}
