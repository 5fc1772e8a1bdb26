package dev.arbutusroad.cli;

import dev.arbutusroad.core.store.VersionEntry;
import java.io.PrintStream;
import java.util.List;
import org.kohsuke.args4j.Option;

/** Lists the latest versions, newest first. */
final class ConfigHistoryCommand implements Command {
  private static final int MAX_LIMIT = 1_000;

  @Override
  public String name() {
    return "config history";
  }

  @Override
  public String summary() {
    return "list the latest configuration versions";
  }

  @Override
  public int run(List<String> args, PrintStream out, PrintStream err) {
    Options options = new Options();
    return CommandLine.parse(this, options, args, out, err).orElseGet(() -> run(options, out, err));
  }

  private static int run(Options options, PrintStream out, PrintStream err) {
    if (options.limit < 1 || options.limit > MAX_LIMIT) {
      return CommandLine.badUsage(err, "config history: --limit must be 1 to " + MAX_LIMIT);
    }
    return options.withStore(
        err,
        store ->
            store
                .history(options.limit)
                .join()
                .map(
                    entries -> {
                      entries.forEach(entry -> print(entry, out));
                      return OK;
                    }));
  }

  private static void print(VersionEntry entry, PrintStream out) {
    out.printf("%d %s %s %s%n", entry.version(), entry.time(), entry.author(), entry.hash());
  }

  /** Options of the command. */
  private static final class Options extends StoreOptions {
    @Option(name = "--limit", metaVar = "NUMBER", usage = "number of versions, 1 to 1000")
    private int limit = 20;
  }
}
