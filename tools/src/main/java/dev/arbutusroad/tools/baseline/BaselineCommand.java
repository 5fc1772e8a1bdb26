package dev.arbutusroad.tools.baseline;

import dev.arbutusroad.core.result.Failure;
import dev.arbutusroad.core.result.ResultCode;
import dev.arbutusroad.tools.http.HttpEndpoints;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import org.tinylog.Logger;

/** The subcommand {@code stand-in-baseline}: runs a forwarder until the process is ended. */
public final class BaselineCommand {
  @Option(name = "--listen", required = true, metaVar = "HOST:PORT", usage = "address for calls")
  private String listen = "";

  @Option(
      name = "--limit",
      metaVar = "N",
      usage = "calls in progress at each target; 0 for no limit")
  private int limitPerTarget;

  @Option(name = "--retries", metaVar = "N", usage = "immediate retries of each failed call")
  private int retries;

  /** Parses the arguments, starts the forwarder and waits until the process is ended. */
  public Either<Failure, Void> run(List<String> args) {
    try {
      new CmdLineParser(this).parseArgument(args);
      BaselineForwarder forwarder =
          new BaselineForwarder(HttpEndpoints.parse(listen), limitPerTarget, retries);
      Logger.info("event=baseline_started address={}", HttpEndpoints.format(forwarder.address()));
      new CountDownLatch(1).await();
      return Either.right(null);
    } catch (CmdLineException | IllegalArgumentException e) {
      return Either.left(new Failure(ResultCode.USAGE, e.getMessage()));
    } catch (IOException e) {
      return Either.left(new Failure(ResultCode.SETTINGS_RANGE, e.getMessage()));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return Either.right(null);
    }
  }
}
