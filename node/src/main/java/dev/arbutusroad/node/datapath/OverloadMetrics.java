package dev.arbutusroad.node.datapath;

import dev.arbutusroad.core.fatal.FatalEntry;
import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.function.Supplier;
import java.util.function.ToDoubleFunction;

/** The metrics of overload control, read from a recent copy of its state. */
final class OverloadMetrics {
  private static final double NANOS_PER_SECOND = 1e9;

  private final PrometheusRegistry registry;
  private final Supplier<OverloadState> state;

  private OverloadMetrics(PrometheusRegistry registry, Supplier<OverloadState> state) {
    this.registry = registry;
    this.state = state;
  }

  /** Registers the metrics; scrapes call {@code state} from any thread. */
  static void register(PrometheusRegistry registry, Supplier<OverloadState> state) {
    OverloadMetrics metrics = new OverloadMetrics(registry, state);
    metrics.registerAdmission();
    metrics.registerRetries();
    metrics.registerFatalRequests();
  }

  private void registerAdmission() {
    registerGauge("arbutus_admission_limit", "Calls that may run.", s -> s.admission().limit());
    registerGauge("arbutus_admission_in_flight", "Calls that run.", s -> s.admission().inFlight());
    registerGauge("arbutus_admission_queued", "Calls that wait.", s -> s.admission().queued());
    registerGauge(
        "arbutus_admission_oldest_wait_seconds",
        "Wait of the oldest call in the queue.",
        s -> s.admission().oldestWaitNanos() / NANOS_PER_SECOND);
    registerGauge(
        "arbutus_admission_level",
        "Lowest admitted rank: importance times 128 plus origin group.",
        s -> s.admission().level().rank());
    registerGauge(
        "arbutus_admission_latency_seconds",
        "Mean latency of recent calls to the target.",
        s -> s.admission().meanLatencyNanos() / NANOS_PER_SECOND);
    CounterWithCallback.builder()
        .name("arbutus_admission_calls_total")
        .help("Calls at the gate by decision.")
        .labelNames("decision")
        .callback(
            callback -> {
              OverloadState current = state.get();
              callback.call((double) current.admission().started(), "started");
              callback.call((double) current.admission().shed(), "shed");
              callback.call((double) current.admission().queueFull(), "queue_full");
              callback.call((double) current.admission().expired(), "expired");
              callback.call((double) current.admission().cancelled(), "cancelled");
              callback.call((double) current.shedAtExit(), "shed_at_exit");
            })
        .register(registry);
  }

  private void registerRetries() {
    CounterWithCallback.builder()
        .name("arbutus_retry_decisions_total")
        .help("Decisions on failed attempts by the rule that decided.")
        .labelNames("rule")
        .callback(
            callback ->
                state
                    .get()
                    .retryDecisions()
                    .forEach((rule, count) -> callback.call((double) count, rule)))
        .register(registry);
    GaugeWithCallback.builder()
        .name("arbutus_retry_budget")
        .help("Retries allowed now by service.")
        .labelNames("service")
        .callback(
            callback ->
                state.get().retryBudgets().forEach((name, tokens) -> callback.call(tokens, name)))
        .register(registry);
  }

  private void registerFatalRequests() {
    registerGauge(
        "arbutus_fatal_parked", "Calls waiting for a suspect.", OverloadState::parkedSuspects);
    registerGauge(
        "arbutus_fatal_deaths", "Deaths of the target with calls.", OverloadState::deaths);
    GaugeWithCallback.builder()
        .name("arbutus_fatal_requests")
        .help("Known fingerprints by status.")
        .labelNames("status")
        .callback(
            callback -> {
              OverloadState current = state.get();
              for (FatalEntry.Status status : FatalEntry.Status.values()) {
                long count = current.fatal().stream().filter(e -> e.status() == status).count();
                callback.call((double) count, status.name());
              }
            })
        .register(registry);
  }

  private void registerGauge(String name, String help, ToDoubleFunction<OverloadState> value) {
    GaugeWithCallback.builder()
        .name(name)
        .help(help)
        .callback(callback -> callback.call(value.applyAsDouble(state.get())))
        .register(registry);
  }
}
