package dev.arbutusroad.cli;

import dev.arbutusroad.core.config.Configuration;
import dev.arbutusroad.core.config.ConfigurationDiff;
import dev.arbutusroad.core.result.Failure;
import dev.arbutusroad.core.store.ConfigurationStore;
import io.vavr.control.Either;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.kohsuke.args4j.Argument;

/** Prints the rules that differ between two documents or versions. */
final class ConfigDiffCommand implements Command {
  @Override
  public String name() {
    return "config diff";
  }

  @Override
  public String summary() {
    return "show what differs between two configurations";
  }

  @Override
  public int run(List<String> args, PrintStream out, PrintStream err) {
    Options options = new Options();
    return CommandLine.parse(this, options, args, out, err).orElseGet(() -> run(options, out, err));
  }

  private static int run(Options options, PrintStream out, PrintStream err) {
    if (options.sides.size() != 2) {
      return CommandLine.badUsage(err, "config diff: exactly two files or versions are needed");
    }
    if (options.sides.stream().noneMatch(StoredVersions::isVersion)) {
      return StoreOptions.exitStatus(err, diff(options, Optional.empty(), out));
    }
    return options.withStore(err, store -> diff(options, Optional.of(store), out));
  }

  private static Either<Failure, Integer> diff(
      Options options, Optional<ConfigurationStore> store, PrintStream out) {
    return load(options.sides.get(0), store)
        .flatMap(
            first ->
                load(options.sides.get(1), store)
                    .map(
                        second -> {
                          ConfigurationDiff diff = ConfigurationDiff.between(first, second);
                          diff.lines().forEach(out::println);
                          if (diff.isEmpty()) {
                            out.println("no difference");
                          }
                          return OK;
                        }));
  }

  private static Either<Failure, Configuration> load(
      String fileOrVersion, Optional<ConfigurationStore> store) {
    return StoredVersions.isVersion(fileOrVersion)
        ? StoredVersions.find(store.orElseThrow(), StoredVersions.number(fileOrVersion))
        : ConfigurationFiles.read(fileOrVersion);
  }

  /** Options of the command. */
  private static final class Options extends StoreOptions {
    @Argument(
        metaVar = "FILE|VERSION|current",
        required = true,
        usage = "two files or versions; versions need --platform")
    private List<String> sides = new ArrayList<>();
  }
}
