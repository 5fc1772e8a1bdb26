package dev.arbutusroad.tools.load;

import dev.arbutusroad.core.result.Failure;
import dev.arbutusroad.tools.trace.Trace;
import dev.arbutusroad.tools.trace.TraceFiles;
import dev.arbutusroad.tools.trace.TraceGenerator;
import dev.arbutusroad.tools.trace.TraceProfile;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/** {@code load generate}: generates a trace from a profile and a seed. */
final class GenerateCommand {
  @Option(name = "--profile", required = true, metaVar = "FILE", usage = "profile of the trace")
  private Path profile = Path.of("");

  @Option(name = "--out", required = true, metaVar = "FILE", usage = "trace to write")
  private Path target = Path.of("");

  @Option(name = "--seed", metaVar = "N", usage = "seed of the generator")
  private long seed = 1;

  private final PrintStream out;

  GenerateCommand(PrintStream out) {
    this.out = out;
  }

  Either<Failure, Void> run(List<String> args) throws CmdLineException, IOException {
    new CmdLineParser(this).parseArgument(args);
    Either<Failure, TraceProfile> read = TraceProfile.read(profile);
    if (read.isLeft()) {
      return Either.left(read.getLeft());
    }
    Trace trace = TraceGenerator.generate(read.get(), seed);
    TraceFiles.write(target, trace);
    out.printf("%d calls, seed %d%n", trace.calls().size(), seed);
    return Either.right(null);
  }
}
