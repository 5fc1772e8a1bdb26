package dev.arbutusroad.cli;

import java.lang.reflect.Proxy;
import java.util.List;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;

/**
 * Counts SIGTERM and SIGINT: the first requests a graceful shutdown, the second an immediate stop.
 * SIGHUP, which ends a process by default, requests a reload of the settings.
 */
final class ProcessSignals {
  private static final long POLL_MILLIS = 50;

  private final Semaphore received = new Semaphore(0);

  private ProcessSignals() {}

  static ProcessSignals install(Runnable reload) {
    ProcessSignals signals = install();
    signals.handle("HUP", reload);
    return signals;
  }

  static ProcessSignals install() {
    ProcessSignals signals = new ProcessSignals();
    for (String name : List.of("TERM", "INT")) {
      signals.handle(name, signals.received::release);
    }
    return signals;
  }

  /**
   * Registers a signal handler. A shutdown hook sees only the first signal, so the second one needs
   * {@code sun.misc.Signal}. It is called through reflection because the compiler warns of direct
   * use.
   */
  private void handle(String name, Runnable action) {
    try {
      Class<?> signal = Class.forName("sun.misc.Signal");
      Class<?> handler = Class.forName("sun.misc.SignalHandler");
      Object callback =
          Proxy.newProxyInstance(
              ProcessSignals.class.getClassLoader(),
              new Class<?>[] {handler},
              (proxy, method, args) -> {
                action.run();
                return null;
              });
      Object instance = signal.getConstructor(String.class).newInstance(name);
      signal.getMethod("handle", signal, handler).invoke(null, instance, callback);
    } catch (ReflectiveOperationException e) {
      throw new IllegalStateException("this Java runtime does not support signal handlers", e);
    }
  }

  void awaitFirst() {
    received.acquireUninterruptibly();
  }

  /**
   * Waits for the end of a thread or the next signal, whichever comes first.
   *
   * @return whether the thread has ended
   */
  boolean awaitEndUnlessSignalled(Thread work) {
    while (work.isAlive()) {
      try {
        if (received.tryAcquire(POLL_MILLIS, TimeUnit.MILLISECONDS)) {
          return false;
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return false;
      }
    }
    return true;
  }
}
