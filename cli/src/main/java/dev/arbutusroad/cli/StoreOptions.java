package dev.arbutusroad.cli;

import dev.arbutusroad.core.net.Addresses;
import dev.arbutusroad.core.result.Failure;
import dev.arbutusroad.core.store.ConfigurationStore;
import dev.arbutusroad.core.store.PlatformClientSettings;
import dev.arbutusroad.core.store.PlatformMetrics;
import dev.arbutusroad.core.time.Ticker;
import dev.arbutusroad.platform.PlatformClient;
import io.vavr.control.Either;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.kohsuke.args4j.Option;

/** Options of the commands that read or change the configuration in the store. */
class StoreOptions {
  @Option(
      name = "--platform",
      metaVar = "IP:PORT",
      usage = "the platform's table service and object store")
  private String platform;

  /** Runs an operation on the store, prints a failure as one line and returns the exit status. */
  int withStore(PrintStream err, Function<ConfigurationStore, Either<Failure, Integer>> operation) {
    Optional<InetSocketAddress> address = Optional.ofNullable(platform).flatMap(Addresses::parse);
    if (address.isEmpty()) {
      String problem = platform == null ? "is missing" : "is " + platform;
      return CommandLine.badUsage(err, "--platform must be ip:port and " + problem);
    }
    try (PlatformClient client =
        new PlatformClient(
            address.orElseThrow(),
            PlatformClientSettings.COMMAND,
            PlatformMetrics.NONE,
            Ticker.system())) {
      return exitStatus(
          err,
          operation.apply(
              new ConfigurationStore(client, client.objects(), RandomGenerator.getDefault())));
    }
  }

  /** Returns the exit status; prints a failure and returns {@link Command#FAILED} for it. */
  static int exitStatus(PrintStream err, Either<Failure, Integer> result) {
    if (result.isLeft()) {
      err.println(result.getLeft());
      return Command.FAILED;
    }
    return result.get();
  }
}
