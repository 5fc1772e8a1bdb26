package dev.arbutusroad.node.configuration;

import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.function.ToDoubleFunction;

/** Exports the state of the configuration agent as metrics. */
public final class ConfigurationMetrics {
  private static final double MILLIS_PER_SECOND = 1_000;

  private ConfigurationMetrics() {}

  /** Registers the metrics of an agent. */
  public static void register(ConfigurationAgent agent, PrometheusRegistry registry) {
    gauge(
        agent,
        registry,
        "arbutusroad_configuration_version",
        "Version in force, 0 for none.",
        ConfigurationStatus::version);
    gauge(
        agent,
        registry,
        "arbutusroad_configuration_confirmation_age_seconds",
        "Time since the store confirmed the version.",
        status -> status.confirmationAgeMillis() / MILLIS_PER_SECOND);
    gauge(
        agent,
        registry,
        "arbutusroad_configuration_unconfirmed",
        "1 while a newer version may be in force elsewhere.",
        status -> status.unconfirmed() ? 1 : 0);
  }

  private static void gauge(
      ConfigurationAgent agent,
      PrometheusRegistry registry,
      String name,
      String help,
      ToDoubleFunction<ConfigurationStatus> value) {
    GaugeWithCallback.builder()
        .name(name)
        .help(help)
        .callback(callback -> callback.call(value.applyAsDouble(agent.status())))
        .register(registry);
  }
}
