package dev.arbutusroad.cli;

import dev.arbutusroad.core.edge.Deployment;
import dev.arbutusroad.core.result.Failure;
import dev.arbutusroad.core.settings.NodeSettings;
import dev.arbutusroad.node.process.NodeProcess;
import dev.arbutusroad.platform.PlatformDeployment;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import org.kohsuke.args4j.Option;
import org.tinylog.Logger;

/** Runs a node until SIGTERM or SIGINT. */
final class NodeCommand implements Command {
  @Override
  public String name() {
    return "node";
  }

  @Override
  public String summary() {
    return "run the node beside a target";
  }

  @Override
  public int run(List<String> args, PrintStream out, PrintStream err) {
    Options options = new Options();
    if (args.isEmpty()) {
      // Skip the parser: reading the option annotations takes a tenth of a node's start time.
      return start(options.settings, err);
    }
    return CommandLine.parse(this, options, args, out, err)
        .orElseGet(() -> start(options.settings, err));
  }

  private static int start(String file, PrintStream err) {
    // A node logs to standard output; other commands print their results there and log to stderr.
    System.setProperty("tinylog.writer.stream", "out");
    if (file == null) {
      return CommandLine.badUsage(err, "--settings is missing");
    }
    Either<Failure, NodeSettings> settings = SettingsFile.read(Path.of(file));
    if (settings.isLeft()) {
      err.println(settings.getLeft());
      return FAILED;
    }
    try (NodeProcess node = NodeProcess.start(settings.get(), deployment(settings.get()))) {
      ProcessSignals signals = ProcessSignals.install(() -> reload(file, node));
      signals.awaitFirst();
      Thread stop = new Thread(node::drain, "stop");
      stop.start();
      boolean drained = signals.awaitEndUnlessSignalled(stop);
      if (!drained) {
        Logger.warn("event=stop_forced calls_cut={}", node.callsInProgress());
      }
      return drained ? OK : FAILED;
    } catch (IOException e) {
      err.println(e.getMessage());
      return FAILED;
    }
  }

  /** Applies the settings that can change while the node runs; invalid settings change nothing. */
  private static void reload(String file, NodeProcess node) {
    Either<Failure, NodeSettings> settings = SettingsFile.read(Path.of(file));
    if (settings.isLeft()) {
      Logger.error("event=settings_refused reason=\"{}\"", settings.getLeft());
    } else {
      node.reload(settings.get());
    }
  }

  private static Deployment deployment(NodeSettings settings) {
    return switch (settings.deployment()) {
      case ARBUTUS -> new ArbutusDeployment();
      case PLATFORM -> new PlatformDeployment();
    };
  }

  /** Options of the command. */
  private static final class Options {
    @Option(
        name = "--settings",
        metaVar = "FILE",
        usage = "the node's settings; default: the value of ARBUTUSROAD_CONFIG")
    private String settings = System.getenv("ARBUTUSROAD_CONFIG");
  }
}
