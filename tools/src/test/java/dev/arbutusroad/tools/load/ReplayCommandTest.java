package dev.arbutusroad.tools.load;

import static org.assertj.core.api.Assertions.assertThat;

import dev.arbutusroad.core.resource.Closer;
import dev.arbutusroad.core.result.Failure;
import dev.arbutusroad.core.result.ResultCode;
import dev.arbutusroad.tools.baseline.BaselineForwarder;
import dev.arbutusroad.tools.http.HttpEndpoints;
import dev.arbutusroad.tools.target.TargetBehaviour;
import dev.arbutusroad.tools.target.TargetOptions;
import dev.arbutusroad.tools.target.TargetStandIn;
import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

final class ReplayCommandTest {
  private final Closer closer = new Closer();
  private final ByteArrayOutputStream report = new ByteArrayOutputStream();

  @AfterEach
  void close() throws IOException {
    closer.close();
  }

  /**
   * Guards against faults of the targets that a replay misses: a truncated body, an order that runs
   * twice because of a retry, and a body of the wrong length. Calls alternate between the target
   * and a forwarder.
   */
  @Test
  void reportsTruncatedBodiesDoubledRunsAndMissedOutcomes(@TempDir Path directory)
      throws IOException {
    BaselineForwarder forwarder =
        closer.register(new BaselineForwarder(HttpEndpoints.parse("127.0.0.1:0"), 0, 0));
    TargetBehaviour behaviour =
        TargetBehaviour.defaults().with("{\"serviceMillis\":0,\"cutPath\":\"/cut\"}");
    TargetStandIn target =
        closer.register(
            TargetStandIn.start(
                TargetOptions.of("orders")
                    .withExit(forwarder.address(), List.of())
                    .withBehaviour(behaviour)));
    Path trace =
        Files.writeString(
            directory.resolve("trace"),
            """
            {"trace":1,"name":"t","retries":1,"attemptMillis":2000}
            {"phase":"all","start":0,"end":2000}
            {"at":1000,"service":"orders","path":"/a?bytes=70000","responseBytes":70000,"deadlineMillis":9000}
            {"at":1000,"service":"orders","path":"/b?bytes=10","responseBytes":11,"deadlineMillis":9000}
            {"at":1000,"service":"orders","path":"/cut?bytes=70000","responseBytes":70000,"deadlineMillis":9000}
            {"at":1100,"control":"orders","change":{"serviceMillis":60000}}
            {"at":1500,"service":"orders","method":"POST","path":"/o","requestBytes":9,"responseBytes":9,"orderKey":"k","deadlineMillis":9000}
            """);
    Path outcomes =
        Files.writeString(
            directory.resolve("outcomes"),
            """
            {"outcomes": [
              {"name": "wrong", "measure": "WRONG_ANSWERS", "atMost": 0},
              {"name": "doubled", "measure": "DOUBLED_RUNS", "atMost": 0},
              {"name": "share", "measure": "GOOD_SHARE", "phase": "all", "atLeast": 0.25},
              {"name": "ran", "measure": "RAN_DESPITE_NOT_RUN", "atMost": 0}]}
            """);

    Either<Failure, Void> result =
        new LoadCommand(new PrintStream(report, true, StandardCharsets.UTF_8))
            .run(
                List.of(
                    "replay",
                    "--trace",
                    trace.toString(),
                    "--outcomes",
                    outcomes.toString(),
                    "--node",
                    HttpEndpoints.format(target.address()),
                    "--node",
                    HttpEndpoints.format(forwarder.address()),
                    "--target",
                    "orders=" + HttpEndpoints.format(target.controlAddress())));

    assertThat(report.toString(StandardCharsets.UTF_8).lines())
        .contains("MISSED wrong: 2.000", "MISSED doubled: 1.000", "met    share: 0.250")
        .contains("met    ran: 0.000");
    assertThat(result.getLeft().code()).isEqualTo(ResultCode.OUTCOME_MISSED);
    assertThat(target.behaviour().serviceMillis()).isEqualTo(60_000);
  }
}
