package dev.arbutusroad.tools.load;

import dev.arbutusroad.core.resource.Closer;
import dev.arbutusroad.core.result.Failure;
import dev.arbutusroad.core.result.ResultCode;
import dev.arbutusroad.tools.http.HttpEndpoints;
import dev.arbutusroad.tools.trace.Trace;
import dev.arbutusroad.tools.trace.TraceFiles;
import io.servicetalk.http.api.StreamingHttpClient;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/** {@code load replay}: replays a trace, prints a report and checks the expected outcomes. */
final class ReplayCommand {
  @Option(name = "--trace", required = true, metaVar = "FILE", usage = "trace to replay")
  private Path trace = Path.of("");

  @Option(
      name = "--node",
      required = true,
      metaVar = "HOST:PORT",
      usage = "caller listener of a node; repeatable")
  private List<String> nodes = new ArrayList<>();

  @Option(
      name = "--target",
      metaVar = "SERVICE=HOST:PORT",
      usage = "control endpoint of a stand-in target; repeatable")
  private List<String> targets = new ArrayList<>();

  @Option(name = "--outcomes", metaVar = "FILE", usage = "expected outcomes")
  private Path outcomes;

  private final PrintStream out;

  ReplayCommand(PrintStream out) {
    this.out = out;
  }

  Either<Failure, Void> run(List<String> args) throws CmdLineException, IOException {
    new CmdLineParser(this).parseArgument(args);
    Either<Failure, Outcomes> expectedOutcomes =
        outcomes == null ? Either.right(new Outcomes(List.of())) : Outcomes.read(outcomes);
    return TraceFiles.read(trace)
        .flatMap(parsed -> expectedOutcomes.flatMap(expected -> replay(parsed, expected)));
  }

  private Either<Failure, Void> replay(Trace parsed, Outcomes expected) {
    try (Closer closer = new Closer();
        TargetControlClient controls = new TargetControlClient(targets)) {
      List<StreamingHttpClient> clients = new ArrayList<>();
      for (String node : nodes) {
        clients.add(closer.register(HttpEndpoints.client(HttpEndpoints.parse(node))));
      }
      TraceReplay.ReplayResult result = new TraceReplay(parsed, clients, controls::apply).run();
      Measures measures = new Measures(parsed, result.results());
      Audit audit =
          new Audit(
              controls.doubledRuns(),
              controls.countExecuted(result.notRunAttempts()),
              result.notRunAttempts().size());
      Report report =
          new Report(parsed, measures, audit, expected.evaluate(parsed, measures, audit));
      out.print(report.table());
      out.println(report.json());
      return report.allMet()
          ? Either.right(null)
          : Either.left(Failure.of(ResultCode.OUTCOME_MISSED));
    } catch (IOException e) {
      return Either.left(new Failure(ResultCode.NODE_UNREACHABLE, e.getMessage()));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return Either.left(new Failure(ResultCode.USAGE, "interrupted"));
    }
  }
}
