package dev.arbutusroad.cli;

import java.io.PrintStream;
import java.util.List;
import org.kohsuke.args4j.Option;

/** Prints the document of a version. */
final class ConfigShowCommand implements Command {
  @Override
  public String name() {
    return "config show";
  }

  @Override
  public String summary() {
    return "print a configuration document";
  }

  @Override
  public int run(List<String> args, PrintStream out, PrintStream err) {
    Options options = new Options();
    return CommandLine.parse(this, options, args, out, err).orElseGet(() -> run(options, out, err));
  }

  private static int run(Options options, PrintStream out, PrintStream err) {
    return options.withStore(
        err,
        store ->
            StoredVersions.find(store, options.version)
                .map(
                    found -> {
                      err.println("version " + found.version() + ", hash " + found.hash());
                      out.print(found.document());
                      return OK;
                    }));
  }

  /** Options of the command. */
  private static final class Options extends StoreOptions {
    @Option(name = "--version", metaVar = "VERSION", usage = "default: the version in force")
    private long version;
  }
}
