package dev.arbutusroad.bench;

import java.io.IOException;

/** Runs the JMH benchmarks; the arguments are those of JMH. */
public final class BenchmarkRunner {
  private BenchmarkRunner() {}

  /**
   * Runs the benchmarks.
   *
   * @throws IOException if JMH cannot start a forked process
   */
  public static void main(String[] args) throws IOException {
    org.openjdk.jmh.Main.main(args);
  }
}
