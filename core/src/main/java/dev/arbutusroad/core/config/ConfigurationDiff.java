package dev.arbutusroad.core.config;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The differences between two configurations, by rule. Comments and the order of rules are not
 * compared, because they do not affect calls.
 *
 * @param lines one line for each side of each difference: {@code -} for the first configuration,
 *     {@code +} for the second
 */
public record ConfigurationDiff(List<String> lines) {
  public ConfigurationDiff {
    lines = List.copyOf(lines);
  }

  /** Returns the changes that turn the first configuration into the second. */
  public static ConfigurationDiff between(Configuration first, Configuration second) {
    Map<String, String> before = entries(first);
    Map<String, String> after = entries(second);
    TreeSet<String> names = new TreeSet<>(before.keySet());
    names.addAll(after.keySet());
    List<String> lines = new ArrayList<>();
    for (String name : names) {
      String oldText = before.get(name);
      String newText = after.get(name);
      if (oldText != null && !oldText.equals(newText)) {
        lines.add("- " + name + ": " + oldText);
      }
      if (newText != null && !newText.equals(oldText)) {
        lines.add("+ " + name + ": " + newText);
      }
    }
    return new ConfigurationDiff(lines);
  }

  private static Map<String, String> entries(Configuration configuration) {
    Map<String, String> entries = new LinkedHashMap<>();
    entries.put("defaults", new TreeMap<>(configuration.defaults()).toString());
    entries.put("services", new TreeSet<>(configuration.services()).toString());
    configuration.labelling().forEach(r -> entries.put("labelling " + r.name(), r.toString()));
    configuration.rules().forEach(r -> entries.put("rule " + r.name(), r.toString()));
    return entries;
  }

  /** Returns whether the configurations are equal apart from comments and the order of rules. */
  public boolean isEmpty() {
    return lines.isEmpty();
  }
}
