package dev.arbutusroad.tools.target;

import dev.arbutusroad.core.result.Failure;
import dev.arbutusroad.core.result.ResultCode;
import dev.arbutusroad.tools.http.HttpEndpoints;
import io.vavr.control.Either;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import org.tinylog.Logger;

/** The subcommand {@code stand-in-target}: runs a stand-in target until the process ends. */
public final class TargetStandInCommand {
  @Option(name = "--service", required = true, metaVar = "NAME", usage = "service of the target")
  private String service = "";

  @Option(name = "--listen", metaVar = "HOST:PORT", usage = "address for calls")
  private String listen = "127.0.0.1:0";

  @Option(name = "--control", metaVar = "HOST:PORT", usage = "address of the control endpoint")
  private String control = "127.0.0.1:0";

  @Option(name = "--exit", metaVar = "HOST:PORT", usage = "exit listener of the target's node")
  private String exit = "";

  @Option(
      name = "--child",
      metaVar = "SERVICE",
      usage = "service that each call invokes; repeatable")
  private List<String> children = new ArrayList<>();

  @Option(
      name = "--behaviour",
      metaVar = "JSON",
      usage = "properties of the behaviour, as for PUT /control")
  private String behaviour = "{}";

  @Option(name = "--seed", metaVar = "N", usage = "seed of the service times")
  private long seed = 1;

  /** Parses the arguments, starts the target and waits until the process ends. */
  public Either<Failure, Void> run(List<String> args) {
    try {
      new CmdLineParser(this).parseArgument(args);
      serve(options());
      return Either.right(null);
    } catch (CmdLineException | IllegalArgumentException e) {
      return Either.left(new Failure(ResultCode.USAGE, e.getMessage()));
    } catch (IOException e) {
      return Either.left(new Failure(ResultCode.SETTINGS_RANGE, e.getMessage()));
    }
  }

  private TargetOptions options() {
    TargetOptions options =
        TargetOptions.of(service)
            .withAddresses(HttpEndpoints.parse(listen), HttpEndpoints.parse(control))
            .withBehaviour(TargetBehaviour.defaults().with(behaviour))
            .withSeed(seed);
    return Optional.of(exit)
        .filter(text -> !text.isEmpty())
        .map(text -> options.withExit(HttpEndpoints.parse(text), children))
        .orElse(options);
  }

  private static void serve(TargetOptions options) throws IOException {
    TargetStandIn target = TargetStandIn.start(options);
    CountDownLatch processEnd = new CountDownLatch(1);
    Runtime.getRuntime().addShutdownHook(new Thread(() -> leave(target), "leave"));
    Logger.info(
        "event=target_started service={} address={} control={}",
        options.service(),
        HttpEndpoints.format(target.address()),
        HttpEndpoints.format(target.controlAddress()));
    try {
      processEnd.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void leave(TargetStandIn target) {
    try {
      target.leave();
      target.close();
    } catch (IOException e) {
      Logger.warn("event=leave_failed reason=\"{}\"", e.getMessage());
    }
  }
}
