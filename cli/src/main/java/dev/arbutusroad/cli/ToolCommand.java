package dev.arbutusroad.cli;

import dev.arbutusroad.core.result.Failure;
import dev.arbutusroad.core.result.ResultCode;
import io.vavr.control.Either;
import java.io.PrintStream;
import java.util.List;
import java.util.function.Function;
import java.util.function.Supplier;
import org.kohsuke.args4j.CmdLineParser;

/**
 * A subcommand of the tools module, which parses its own arguments.
 *
 * @param name the word that selects the command
 * @param summary description of one line for the list of commands
 * @param options the objects whose annotated fields are the options
 * @param tool runs the tool with its arguments
 */
record ToolCommand(
    String name,
    String summary,
    Supplier<List<Object>> options,
    Function<List<String>, Either<Failure, Void>> tool)
    implements Command {
  @Override
  public int run(List<String> args, PrintStream out, PrintStream err) {
    if (args.contains("--help")) {
      out.println("usage: arbutusroad " + name + " [options]: " + summary);
      options.get().forEach(bean -> new CmdLineParser(bean).printUsage(out));
      return OK;
    }
    Either<Failure, Void> result = tool.apply(args);
    if (result.isRight()) {
      return OK;
    }
    err.println(result.getLeft());
    return result.getLeft().code() == ResultCode.USAGE ? BAD_USAGE : FAILED;
  }
}
