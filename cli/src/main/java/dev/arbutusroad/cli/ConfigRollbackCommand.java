package dev.arbutusroad.cli;

import dev.arbutusroad.core.store.VersionEntry;
import java.io.PrintStream;
import java.util.List;
import org.kohsuke.args4j.Option;

/** Applies the content of an earlier version as a new version with a higher number. */
final class ConfigRollbackCommand implements Command {
  @Override
  public String name() {
    return "config rollback";
  }

  @Override
  public String summary() {
    return "apply the content of an earlier version as a new version";
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
            store
                .readCurrentVersion()
                .join()
                .flatMap(
                    current ->
                        store
                            .read(options.to)
                            .join()
                            .flatMap(
                                earlier ->
                                    options.apply(
                                        store,
                                        earlier,
                                        current.map(VersionEntry::version).orElse(0L),
                                        out,
                                        err))));
  }

  /** Options of the command. */
  private static final class Options extends ApplyOptions {
    @Option(
        name = "--to",
        metaVar = "VERSION",
        required = true,
        usage = "the version whose content is reapplied")
    private long to;
  }
}
