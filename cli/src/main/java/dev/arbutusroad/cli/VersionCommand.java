package dev.arbutusroad.cli;

import java.io.PrintStream;
import java.util.List;
import java.util.Optional;

/** Prints the version of the program. */
final class VersionCommand implements Command {
  @Override
  public String name() {
    return "version";
  }

  @Override
  public String summary() {
    return "print the version";
  }

  @Override
  public int run(List<String> args, PrintStream out, PrintStream err) {
    Optional<Integer> status = CommandLine.parse(this, new Object(), args, out, err);
    if (status.isPresent()) {
      return status.orElseThrow();
    }
    String version = VersionCommand.class.getPackage().getImplementationVersion();
    out.println("arbutusroad " + (version == null ? "development" : version));
    return OK;
  }
}
