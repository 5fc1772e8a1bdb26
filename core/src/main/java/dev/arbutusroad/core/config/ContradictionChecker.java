package dev.arbutusroad.core.config;

import dev.arbutusroad.core.document.DocumentValue;
import dev.arbutusroad.core.document.InvalidDocumentException;
import dev.arbutusroad.core.result.ResultCode;
import dev.arbutusroad.core.selector.ParsedSelector;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Rejects rules that have the same selector and precedence but set the same property or label to
 * different values.
 */
final class ContradictionChecker {
  private final Map<List<Object>, Setting> settings = new HashMap<>();

  void addRule(PolicyRule rule, DocumentValue location) throws InvalidDocumentException {
    for (Map.Entry<PolicyProperty, Long> entry : rule.values().entrySet()) {
      PolicyProperty property = entry.getKey();
      add(
          List.of(rule.select(), rule.precedence(), property),
          property.key(),
          new Setting(rule.name(), property.format(entry.getValue()), location.line()),
          location,
          "give one of them another precedence");
    }
  }

  void addLabel(
      ParsedSelector when, String label, String value, String rule, DocumentValue location)
      throws InvalidDocumentException {
    add(
        List.of(when, label),
        "label " + label,
        new Setting(rule, value, location.line()),
        location,
        "keep one of them");
  }

  private void add(
      List<Object> key, String item, Setting setting, DocumentValue location, String hint)
      throws InvalidDocumentException {
    Setting earlier = settings.putIfAbsent(key, setting);
    if (earlier != null && !earlier.value().equals(setting.value())) {
      throw location.error(
          ResultCode.RULES_CONTRADICT,
          "%s sets %s to %s, but %s in line %d has the same selector and sets it to %s; %s"
              .formatted(
                  setting.rule(),
                  item,
                  setting.value(),
                  earlier.rule(),
                  earlier.line(),
                  earlier.value(),
                  hint));
    }
  }

  private record Setting(String rule, String value, int line) {}
}
