package dev.arbutusroad.core.config;

import dev.arbutusroad.core.label.CallAttributes;
import dev.arbutusroad.core.route.RouteTable;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** An immutable version of the configuration, compiled for resolving call policies. */
public final class Configuration implements PolicyResolver {
  /** The version of a document that was checked but not applied. */
  public static final long NOT_APPLIED = 0;

  private final long version;
  private final String document;
  private final String hash;
  private final List<String> services;
  private final List<LabellingRule> labelling;
  private final List<PolicyRule> rules;
  private final Map<PolicyProperty, Long> defaults;
  private final RuleTable table;
  private final Optional<RouteTable> routes;
  private final Map<String, String> healthPaths;

  Configuration(
      long version,
      String document,
      List<String> services,
      List<LabellingRule> labelling,
      List<PolicyRule> rules,
      Map<PolicyProperty, Long> defaults) {
    this(version, document, services, labelling, rules, defaults, Optional.empty(), Map.of());
  }

  private Configuration(
      long version,
      String document,
      List<String> services,
      List<LabellingRule> labelling,
      List<PolicyRule> rules,
      Map<PolicyProperty, Long> defaults,
      Optional<RouteTable> routes,
      Map<String, String> healthPaths) {
    this.version = version;
    this.document = document;
    this.hash = hashOf(document);
    this.services = List.copyOf(services);
    this.labelling = List.copyOf(labelling);
    this.rules = List.copyOf(rules);
    this.defaults = Map.copyOf(defaults);
    this.table = new RuleTable(labelling, rules, defaults);
    this.routes = routes;
    this.healthPaths = Map.copyOf(healthPaths);
  }

  /**
   * Creates a configuration with routes, which attach the labels that its rules select on.
   *
   * @param services the health check path of each service; empty if the service has none
   */
  public static Configuration routed(
      long version,
      String document,
      Map<String, Optional<String>> services,
      List<PolicyRule> rules,
      RouteTable routes) {
    Map<PolicyProperty, Long> defaults = new EnumMap<>(PolicyProperty.class);
    for (PolicyProperty property : PolicyProperty.values()) {
      defaults.put(property, property.builtInDefault());
    }
    Map<String, String> healthPaths = new HashMap<>();
    services.forEach((name, path) -> path.ifPresent(value -> healthPaths.put(name, value)));
    return new Configuration(
        version,
        document,
        List.copyOf(services.keySet()),
        List.of(),
        rules,
        defaults,
        Optional.of(routes),
        healthPaths);
  }

  @Override
  public Optional<String> healthPath(String service) {
    return Optional.ofNullable(healthPaths.get(service));
  }

  @Override
  public Optional<RouteTable> routes() {
    return routes;
  }

  @Override
  public long version() {
    return version;
  }

  @Override
  public CallPolicy resolve(CallAttributes call) {
    return table.resolve(call);
  }

  /** Returns the text from which this configuration was parsed. */
  public String document() {
    return document;
  }

  /** Returns the SHA-256 of the document in hexadecimal digits. */
  public String hash() {
    return hash;
  }

  /** Returns the services that rules may name; empty if the document does not list them. */
  public List<String> services() {
    return services;
  }

  /** Returns the labelling rules in document order. */
  public List<LabellingRule> labelling() {
    return labelling;
  }

  /** Returns the policy rules in document order. */
  public List<PolicyRule> rules() {
    return rules;
  }

  /** Returns the values of properties that no rule sets. */
  public Map<PolicyProperty, Long> defaults() {
    return defaults;
  }

  /** Returns which rule sets each property of a call. */
  public PolicyExplanation explain(CallAttributes call) {
    CallAttributes labelled = table.withAttachedLabels(call);
    List<PolicyExplanation.Property> properties = new ArrayList<>();
    for (PolicyProperty property : PolicyProperty.values()) {
      List<PolicyRule> matching = table.matching(labelled, property);
      Optional<PolicyRule> winner = matching.stream().findFirst();
      properties.add(
          new PolicyExplanation.Property(
              property,
              winner.map(rule -> rule.values().get(property)).orElse(defaults.get(property)),
              winner,
              matching.stream().skip(1).map(PolicyRule::name).toList()));
    }
    return new PolicyExplanation(
        labelled.labels(),
        table.labellingOf(call).stream().map(LabellingRule::name).toList(),
        table.resolve(call).kind(),
        properties);
  }

  /** Computes the SHA-256 of a document in hexadecimal digits. */
  public static String hashOf(String document) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      return HexFormat.of().formatHex(digest.digest(document.getBytes(StandardCharsets.UTF_8)));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }
}
