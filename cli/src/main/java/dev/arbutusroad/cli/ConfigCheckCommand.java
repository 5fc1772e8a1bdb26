package dev.arbutusroad.cli;

import java.io.PrintStream;
import java.util.List;
import org.kohsuke.args4j.Argument;

/** Checks a configuration document without a store. */
final class ConfigCheckCommand implements Command {
  @Override
  public String name() {
    return "config check";
  }

  @Override
  public String summary() {
    return "check a configuration document without applying it";
  }

  @Override
  public int run(List<String> args, PrintStream out, PrintStream err) {
    Options options = new Options();
    return CommandLine.parse(this, options, args, out, err).orElseGet(() -> run(options, out, err));
  }

  private static int run(Options options, PrintStream out, PrintStream err) {
    return StoreOptions.exitStatus(
        err,
        ConfigurationFiles.read(options.file)
            .map(
                checked -> {
                  out.printf(
                      "ok: %d labelling rules, %d rules, hash %s%n",
                      checked.labelling().size(), checked.rules().size(), checked.hash());
                  return OK;
                }));
  }

  /** Options of the command. */
  private static final class Options {
    @Argument(metaVar = "FILE", required = true, usage = "the configuration document")
    private String file;
  }
}
