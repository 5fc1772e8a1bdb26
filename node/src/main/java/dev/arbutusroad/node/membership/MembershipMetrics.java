package dev.arbutusroad.node.membership;

import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.function.ToDoubleFunction;

/** Exports the state of the membership agent as metrics. */
public final class MembershipMetrics {
  private MembershipMetrics() {}

  /** Registers the metrics of an agent. */
  public static void register(MembershipAgent agent, PrometheusRegistry registry) {
    gauge(agent, registry, "members", "Members that are not dead.", m -> m.view().all().size());
    gauge(agent, registry, "stale", "1 after a pause until caught up.", m -> m.isStale() ? 1 : 0);
    gauge(agent, registry, "joined", "1 once a peer was found.", m -> m.hasJoined() ? 1 : 0);
    for (String name : agent.sizes().keySet()) {
      gauge(agent, registry, "size_" + toSnakeCase(name), "Entries.", m -> m.sizes().get(name));
    }
    for (String name : agent.traffic().keySet()) {
      CounterWithCallback.builder()
          .name("arbutusroad_membership_" + toSnakeCase(name))
          .help("Control messages of this node.")
          .callback(callback -> callback.call(agent.traffic().get(name)))
          .register(registry);
    }
  }

  private static void gauge(
      MembershipAgent agent,
      PrometheusRegistry registry,
      String name,
      String help,
      ToDoubleFunction<MembershipAgent> value) {
    GaugeWithCallback.builder()
        .name("arbutusroad_membership_" + name)
        .help(help)
        .callback(callback -> callback.call(value.applyAsDouble(agent)))
        .register(registry);
  }

  private static String toSnakeCase(String name) {
    return name.replaceAll("([A-Z])", "_$1").toLowerCase(java.util.Locale.ROOT);
  }
}
