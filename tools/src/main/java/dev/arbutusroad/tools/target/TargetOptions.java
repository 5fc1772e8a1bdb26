package dev.arbutusroad.tools.target;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * Options for the start of a stand-in target.
 *
 * @param service the service that it belongs to
 * @param listen address for calls; port 0 selects a free port
 * @param control address of the control endpoint; port 0 selects a free port
 * @param exit exit listener of its node; without one it neither announces itself nor makes calls
 * @param children services that each call invokes one after another
 * @param behaviour initial behaviour
 * @param seed seed of the jitter
 * @param crash action that a request with the crash path triggers
 */
public record TargetOptions(
    String service,
    InetSocketAddress listen,
    InetSocketAddress control,
    Optional<InetSocketAddress> exit,
    List<String> children,
    TargetBehaviour behaviour,
    long seed,
    Runnable crash) {
  private static final int CRASH_STATUS = 134;

  public TargetOptions {
    Objects.requireNonNull(service, "service");
    Objects.requireNonNull(listen, "listen");
    Objects.requireNonNull(control, "control");
    Objects.requireNonNull(exit, "exit");
    children = List.copyOf(children);
    Objects.requireNonNull(behaviour, "behaviour");
    Objects.requireNonNull(crash, "crash");
    if (exit.isEmpty() && !children.isEmpty()) {
      throw new IllegalArgumentException("child calls need the address of an exit listener");
    }
  }

  /** Returns options for a target of a service on free loopback ports, without a node. */
  public static TargetOptions of(String service) {
    InetSocketAddress free = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    return new TargetOptions(
        service,
        free,
        free,
        Optional.empty(),
        List.of(),
        TargetBehaviour.defaults(),
        1,
        () -> Runtime.getRuntime().halt(CRASH_STATUS));
  }

  /** Returns these options with other addresses. */
  public TargetOptions withAddresses(InetSocketAddress newListen, InetSocketAddress newControl) {
    return new TargetOptions(
        service, newListen, newControl, exit, children, behaviour, seed, crash);
  }

  /** Returns these options with a node's exit listener and the services to call through it. */
  public TargetOptions withExit(InetSocketAddress newExit, List<String> newChildren) {
    return new TargetOptions(
        service, listen, control, Optional.of(newExit), newChildren, behaviour, seed, crash);
  }

  /** Returns these options with another behaviour. */
  public TargetOptions withBehaviour(TargetBehaviour newBehaviour) {
    return new TargetOptions(service, listen, control, exit, children, newBehaviour, seed, crash);
  }

  /** Returns these options with another seed. */
  public TargetOptions withSeed(long newSeed) {
    return new TargetOptions(service, listen, control, exit, children, behaviour, newSeed, crash);
  }

  /** Returns these options with another action for the crash path. */
  public TargetOptions withCrash(Runnable newCrash) {
    return new TargetOptions(service, listen, control, exit, children, behaviour, seed, newCrash);
  }
}
