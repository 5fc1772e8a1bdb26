package dev.arbutusroad.cli;

import dev.arbutusroad.core.config.Configuration;
import dev.arbutusroad.core.config.ConfigurationDiff;
import dev.arbutusroad.core.net.Addresses;
import dev.arbutusroad.core.result.Failure;
import dev.arbutusroad.core.result.ResultCode;
import dev.arbutusroad.core.store.ConfigurationStore;
import dev.arbutusroad.core.store.VersionEntry;
import io.vavr.control.Either;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.Optional;
import java.util.UUID;
import org.kohsuke.args4j.Option;

/** Options of the commands that apply a new version, with their common implementation. */
class ApplyOptions extends StoreOptions {
  @Option(name = "--author", metaVar = "NAME", required = true, usage = "who is making the change")
  private String author;

  @Option(
      name = "--notify",
      metaVar = "IP:PORT",
      usage = "admin address of a node that is told to read the store at once")
  private String notify;

  /** Applies a document; on a conflict, prints how it differs from the version in force. */
  Either<Failure, Integer> apply(
      ConfigurationStore store,
      Configuration edited,
      long baseVersion,
      PrintStream out,
      PrintStream err) {
    Optional<InetSocketAddress> node = Optional.ofNullable(notify).flatMap(Addresses::parse);
    if (notify != null && node.isEmpty()) {
      return Either.right(CommandLine.badUsage(err, "--notify must be ip:port, not " + notify));
    }
    String time = Instant.now().truncatedTo(ChronoUnit.SECONDS).toString();
    Either<Failure, VersionEntry> applied =
        store.apply(edited, baseVersion, author, time, UUID.randomUUID().toString()).join();
    if (applied.isLeft()) {
      if (applied.getLeft().code() == ResultCode.CONFIGURATION_CONFLICT) {
        printConflict(store, edited, out);
      }
      return Either.left(withAdvice(applied.getLeft()));
    }
    out.println("version " + applied.get().version() + " is in force, hash " + edited.hash());
    node.map(address -> AdminClient.request(address, "POST", "/config/notify"))
        .filter(Either::isLeft)
        .ifPresent(failed -> err.println("the node was not notified: " + failed.getLeft()));
    return Either.right(Command.OK);
  }

  private static Failure withAdvice(Failure failure) {
    return failure.code() == ResultCode.PLATFORM_TIMEOUT
        ? new Failure(
            failure.code(),
            failure.detail() + "; whether the version was applied is unknown, see config history")
        : failure;
  }

  private static void printConflict(
      ConfigurationStore store, Configuration edited, PrintStream out) {
    Either<Failure, Optional<Configuration>> read = store.readCurrent().join();
    if (read.isRight() && read.get().isPresent()) {
      Configuration current = read.get().orElseThrow();
      out.println("from version " + current.version() + " in force (-) to this edit (+):");
      ConfigurationDiff.between(current, edited).lines().forEach(out::println);
    }
  }
}
