package dev.arbutusroad.tools.load;

import dev.arbutusroad.core.result.Failure;
import dev.arbutusroad.core.result.ResultCode;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.PrintStream;
import java.util.List;
import org.kohsuke.args4j.CmdLineException;

/** The subcommand {@code load}: {@code replay}, {@code generate} and {@code added-latency}. */
public final class LoadCommand {
  private static final String USAGE = "load replay|generate|added-latency [options]";

  private final PrintStream out;

  public LoadCommand() {
    this(System.out);
  }

  LoadCommand(PrintStream out) {
    this.out = out;
  }

  /** Returns the objects whose annotated fields are the options of the actions. */
  public static List<Object> options() {
    return List.of(
        new ReplayCommand(System.out),
        new GenerateCommand(System.out),
        new AddedLatencyCommand(System.out));
  }

  /** Parses the arguments and runs the named action. */
  public Either<Failure, Void> run(List<String> args) {
    if (args.isEmpty()) {
      return Either.left(new Failure(ResultCode.USAGE, USAGE));
    }
    List<String> options = args.subList(1, args.size());
    try {
      return switch (args.get(0)) {
        case "replay" -> new ReplayCommand(out).run(options);
        case "generate" -> new GenerateCommand(out).run(options);
        case "added-latency" -> new AddedLatencyCommand(out).run(options);
        default -> Either.left(new Failure(ResultCode.USAGE, USAGE));
      };
    } catch (CmdLineException | IllegalArgumentException e) {
      return Either.left(new Failure(ResultCode.USAGE, e.getMessage()));
    } catch (IOException e) {
      return Either.left(new Failure(ResultCode.SETTINGS_UNREADABLE, e.toString()));
    }
  }
}
