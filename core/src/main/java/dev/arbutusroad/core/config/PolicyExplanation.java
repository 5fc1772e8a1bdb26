package dev.arbutusroad.core.config;

import dev.arbutusroad.core.label.Labels;
import java.util.List;
import java.util.Optional;

/**
 * Explains how the policy of a call results from the rules.
 *
 * @param labels the labels of the call, including those attached by labelling rules
 * @param labelledBy the names of the labelling rules that matched
 * @param kind the kind of the call, see {@link CallPolicy#kind}
 * @param properties the origin of each property
 */
public record PolicyExplanation(
    Labels labels, List<String> labelledBy, String kind, List<Property> properties) {
  public PolicyExplanation {
    labelledBy = List.copyOf(labelledBy);
    properties = List.copyOf(properties);
  }

  /**
   * The origin of the value of one property.
   *
   * @param property the property
   * @param value its value
   * @param winner the rule that sets it; empty if the default applies
   * @param overruled the names of the other matching rules that set it, in order of precedence
   */
  public record Property(
      PolicyProperty property, long value, Optional<PolicyRule> winner, List<String> overruled) {
    public Property {
      overruled = List.copyOf(overruled);
    }
  }
}
