package dev.arbutusroad.cli;

import dev.arbutusroad.core.result.Failure;
import dev.arbutusroad.core.result.ResultCode;
import java.io.PrintStream;
import java.util.List;
import java.util.Optional;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.ParserProperties;

/** Parses the arguments of a command into the fields of an options object. */
final class CommandLine {
  private static final int USAGE_WIDTH = 100;

  private CommandLine() {}

  /**
   * Parses the arguments. Prints the usage for {@code --help} and one line of error for an invalid
   * command line.
   *
   * @return the exit status if the command must not run, otherwise empty
   */
  static Optional<Integer> parse(
      Command command, Object options, List<String> args, PrintStream out, PrintStream err) {
    CmdLineParser parser =
        new CmdLineParser(options, ParserProperties.defaults().withUsageWidth(USAGE_WIDTH));
    if (args.contains("--help")) {
      out.println("usage: arbutusroad " + command.name() + " [options]: " + command.summary());
      parser.printUsage(out);
      return Optional.of(Command.OK);
    }
    try {
      parser.parseArgument(args);
      return Optional.empty();
    } catch (CmdLineException e) {
      return Optional.of(badUsage(err, command.name() + ": " + e.getMessage()));
    }
  }

  /** Prints one line of error for an invalid command line and returns the exit status. */
  static int badUsage(PrintStream err, String detail) {
    err.println(new Failure(ResultCode.USAGE, detail + " (see --help)"));
    return Command.BAD_USAGE;
  }
}
