package dev.arbutusroad.cli;

import java.io.PrintStream;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** Entry point: selects the subcommand. */
public final class Main {
  private Main() {}

  /** Runs the subcommand that the arguments name and exits with its status. */
  public static void main(String[] args) {
    System.exit(run(Arrays.asList(args), System.out, System.err));
  }

  static int run(List<String> args, PrintStream out, PrintStream err) {
    if (args.isEmpty() || args.get(0).equals("--help")) {
      printCommands(args.isEmpty() ? err : out);
      return args.isEmpty() ? Command.BAD_USAGE : Command.OK;
    }
    Optional<Command> command = select(args);
    if (command.isEmpty()) {
      return CommandLine.badUsage(err, "unknown command " + args.get(0));
    }
    int words = words(command.orElseThrow()).size();
    return command.orElseThrow().run(args.subList(words, args.size()), out, err);
  }

  private static Optional<Command> select(List<String> args) {
    return CommandRegistry.commands().stream()
        .filter(command -> startsWith(args, words(command)))
        .max(Comparator.comparingInt(command -> words(command).size()));
  }

  private static boolean startsWith(List<String> args, List<String> words) {
    return args.size() >= words.size() && args.subList(0, words.size()).equals(words);
  }

  private static List<String> words(Command command) {
    return List.of(command.name().split(" ", -1));
  }

  private static void printCommands(PrintStream out) {
    out.println("usage: arbutusroad COMMAND [options]; COMMAND --help lists the options");
    for (Command command : CommandRegistry.commands()) {
      out.printf("  %-20s %s%n", command.name(), command.summary());
    }
  }
}
