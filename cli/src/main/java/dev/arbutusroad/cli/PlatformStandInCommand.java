package dev.arbutusroad.cli;

import dev.arbutusroad.core.net.Addresses;
import dev.arbutusroad.tools.platform.PlatformStandIn;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import org.kohsuke.args4j.Option;

/** Runs a stand-in for the platform's table service and object store, for trials and tests only. */
final class PlatformStandInCommand implements Command {
  @Override
  public String name() {
    return "stand-in-platform";
  }

  @Override
  public String summary() {
    return "run a STAND-IN for the platform's store, for trials and tests only";
  }

  @Override
  public int run(List<String> args, PrintStream out, PrintStream err) {
    Options options = new Options();
    return CommandLine.parse(this, options, args, out, err)
        .orElseGet(() -> start(options.listen, out, err));
  }

  private int start(String listen, PrintStream out, PrintStream err) {
    Optional<InetSocketAddress> address = Addresses.parse(listen);
    if (address.isEmpty()) {
      return CommandLine.badUsage(err, name() + ": --listen must be ip:port, not " + listen);
    }
    try (PlatformStandIn standIn = PlatformStandIn.start(address.orElseThrow())) {
      out.println("stand-in platform on " + Addresses.format(standIn.address()));
      ProcessSignals.install().awaitFirst();
      return OK;
    } catch (IOException e) {
      err.println(e.getMessage());
      return FAILED;
    }
  }

  /** Options of the command. */
  private static final class Options {
    @Option(name = "--listen", metaVar = "IP:PORT", required = true, usage = "the address to bind")
    private String listen;
  }
}
