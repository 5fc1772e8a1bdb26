package dev.arbutusroad.node.claim;

import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/** Publishes the counters of the claims as metrics. */
public final class ClaimsMetrics {
  private ClaimsMetrics() {}

  /** Registers the metrics of {@code duty}. */
  public static void register(ClaimsDuty duty, PrometheusRegistry registry) {
    CounterWithCallback.builder()
        .name("arbutusroad_claim_events_total")
        .help("Events of the claims duty; docs/at-most-once.md lists them.")
        .labelNames("event")
        .callback(
            callback ->
                duty.counters().values().forEach((name, count) -> callback.call(count, name)))
        .register(registry);
  }
}
