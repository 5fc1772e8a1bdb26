package dev.arbutusroad.cli;

import java.io.PrintStream;
import java.util.List;

/** A subcommand of the command line. */
public interface Command {
  /** Exit status of a successful command. */
  int OK = 0;

  /** Exit status of a command that failed. */
  int FAILED = 1;

  /** Exit status for an invalid command line. */
  int BAD_USAGE = 2;

  /** Returns the words that select the command, for example {@code config check}. */
  String name();

  /** Returns a description of one line for the list of commands. */
  String summary();

  /**
   * Runs the command.
   *
   * @param args the arguments after the name
   * @return the exit status
   */
  int run(List<String> args, PrintStream out, PrintStream err);
}
