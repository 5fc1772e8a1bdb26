package dev.arbutusroad.node.process;

import dev.arbutusroad.core.result.ResultCode;
import dev.arbutusroad.core.store.PlatformMetrics;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/** Exports the measurements of the platform client as metrics. */
final class PlatformMetricsExport implements PlatformMetrics {
  private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

  private final Counter operations;
  private final Counter retries;
  private final Counter circuitOpenings;
  private final Histogram latency;

  PlatformMetricsExport(PrometheusRegistry registry) {
    operations =
        Counter.builder()
            .name("arbutusroad_platform_operations_total")
            .help("Platform operations by result code, \"OK\" if the platform decided them.")
            .labelNames("operation", "result")
            .register(registry);
    retries =
        Counter.builder()
            .name("arbutusroad_platform_retries_total")
            .help("Attempts after the first of an operation.")
            .labelNames("operation")
            .register(registry);
    circuitOpenings =
        Counter.builder()
            .name("arbutusroad_platform_circuit_openings_total")
            .help("Times that platform calls were suspended.")
            .register(registry);
    latency =
        Histogram.builder()
            .name("arbutusroad_platform_operation_seconds")
            .help("Time of platform operations, waiting included.")
            .labelNames("operation")
            .classicOnly()
            .register(registry);
  }

  @Override
  public void completed(Operation operation, Optional<ResultCode> failure, long nanos) {
    operations.labelValues(name(operation), failure.map(ResultCode::name).orElse("OK")).inc();
    latency.labelValues(name(operation)).observe(nanos / NANOS_PER_SECOND);
  }

  @Override
  public void retried(Operation operation) {
    retries.labelValues(name(operation)).inc();
  }

  @Override
  public void circuitOpened() {
    circuitOpenings.inc();
    Logger.warn("event=platform_circuit_opened");
  }

  private static String name(Operation operation) {
    return operation.name().toLowerCase(Locale.ROOT);
  }
}
