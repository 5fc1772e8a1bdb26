package dev.arbutusroad.cli;

import dev.arbutusroad.core.config.Configuration;
import dev.arbutusroad.core.result.Failure;
import io.vavr.control.Either;
import java.io.PrintStream;
import java.util.List;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Applies a document as the next version unless another one was applied since its base version. */
final class ConfigApplyCommand implements Command {
  @Override
  public String name() {
    return "config apply";
  }

  @Override
  public String summary() {
    return "make a configuration document the next version";
  }

  @Override
  public int run(List<String> args, PrintStream out, PrintStream err) {
    Options options = new Options();
    return CommandLine.parse(this, options, args, out, err).orElseGet(() -> run(options, out, err));
  }

  private static int run(Options options, PrintStream out, PrintStream err) {
    Either<Failure, Configuration> edited = ConfigurationFiles.read(options.file);
    if (edited.isLeft()) {
      err.println(edited.getLeft());
      return FAILED;
    }
    return options.withStore(
        err, store -> options.apply(store, edited.get(), options.base, out, err));
  }

  /** Options of the command. */
  private static final class Options extends ApplyOptions {
    @Argument(metaVar = "FILE", required = true, usage = "the configuration document")
    private String file;

    @Option(
        name = "--base",
        metaVar = "VERSION",
        usage = "the version that the document was edited from; default 0, for the first one")
    private long base;
  }
}
