package dev.arbutusroad.core.config;

import dev.arbutusroad.core.document.DocumentValue;
import dev.arbutusroad.core.document.InvalidDocumentException;
import dev.arbutusroad.core.result.ResultCode;
import dev.arbutusroad.core.selector.ParsedSelector;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Finds rules of equal precedence and with the same selector that set one thing to different
 * values.
 */
final class ContradictionChecker {
  private final Map<List<Object>, Setting> settings = new HashMap<>();

  void addRule(PolicyRule rule, DocumentValue place) throws InvalidDocumentException {
    for (Map.Entry<PolicyProperty, Long> entry : rule.values().entrySet()) {
      PolicyProperty property = entry.getKey();
      add(
          List.of(rule.select(), rule.precedence(), property),
          property.key(),
          new Setting(rule.name(), property.format(entry.getValue()), place.line()),
          place,
          "give one of them another precedence");
    }
  }

  void addLabel(ParsedSelector when, String label, String value, String rule, DocumentValue place)
      throws InvalidDocumentException {
    add(
        List.of(when, label),
        "label " + label,
        new Setting(rule, value, place.line()),
        place,
        "keep one of them");
  }

  private void add(
      List<Object> key, String what, Setting setting, DocumentValue place, String remedy)
      throws InvalidDocumentException {
    Setting earlier = settings.putIfAbsent(key, setting);
    if (earlier != null && !earlier.value().equals(setting.value())) {
      throw place.error(
          ResultCode.RULES_CONTRADICT,
          "%s sets %s to %s, but %s in line %d has the same selector and sets it to %s; %s"
              .formatted(
                  setting.rule(),
                  what,
                  setting.value(),
                  earlier.rule(),
                  earlier.line(),
                  earlier.value(),
                  remedy));
    }
  }

  private record Setting(String rule, String value, int line) {}
}
