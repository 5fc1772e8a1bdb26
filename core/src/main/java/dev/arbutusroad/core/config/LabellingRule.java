package dev.arbutusroad.core.config;

import dev.arbutusroad.core.label.Labels;
import dev.arbutusroad.core.selector.ParsedSelector;
import java.util.Objects;

/**
 * Attaches labels to the calls that a selector over the built-in attributes matches.
 *
 * @param name the unique name of the rule
 * @param when selects the calls
 * @param attach the labels to attach; they replace labels of the same name sent by the caller
 */
public record LabellingRule(String name, ParsedSelector when, Labels attach) {
  public LabellingRule {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(when, "when");
    Objects.requireNonNull(attach, "attach");
  }

  @Override
  public String toString() {
    return "when %s attach %s".formatted(when, attach);
  }
}
