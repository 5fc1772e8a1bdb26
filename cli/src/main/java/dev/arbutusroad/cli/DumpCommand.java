package dev.arbutusroad.cli;

import dev.arbutusroad.core.net.Addresses;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import org.kohsuke.args4j.Option;

/** Prints the state dump of a running node. */
final class DumpCommand implements Command {
  @Override
  public String name() {
    return "dump";
  }

  @Override
  public String summary() {
    return "print the state dump of a running node";
  }

  @Override
  public int run(List<String> args, PrintStream out, PrintStream err) {
    Options options = new Options();
    return CommandLine.parse(this, options, args, out, err).orElseGet(() -> run(options, out, err));
  }

  private static int run(Options options, PrintStream out, PrintStream err) {
    Optional<InetSocketAddress> node = Addresses.parse(options.admin);
    if (node.isEmpty()) {
      return CommandLine.badUsage(err, "dump: --admin must be ip:port, not " + options.admin);
    }
    return StoreOptions.exitStatus(
        err,
        AdminClient.request(node.orElseThrow(), "GET", "/dump")
            .map(
                state -> {
                  out.println(state);
                  return OK;
                }));
  }

  /** Options of the command. */
  private static final class Options {
    @Option(
        name = "--admin",
        metaVar = "IP:PORT",
        required = true,
        usage = "the admin address of the node")
    private String admin;
  }
}
