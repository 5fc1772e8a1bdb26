package dev.arbutusroad.core.config;

import dev.arbutusroad.core.document.DocumentReader;
import dev.arbutusroad.core.document.DocumentSection;
import dev.arbutusroad.core.document.DocumentValue;
import dev.arbutusroad.core.document.InvalidDocumentException;
import dev.arbutusroad.core.label.Labels;
import dev.arbutusroad.core.result.Failure;
import dev.arbutusroad.core.result.ResultCode;
import dev.arbutusroad.core.selector.Attribute;
import dev.arbutusroad.core.selector.ParsedSelector;
import dev.arbutusroad.core.selector.SelectorParser;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** Parses a configuration document. A document with any error is rejected as a whole. */
public final class ConfigurationParser {
  private static final List<String> DOCUMENT_KEYS =
      List.of("services", "labelling", "rules", "defaults");
  private static final List<String> LABELLING_KEYS = List.of("name", "when", "attach");
  private static final List<String> RULE_KEYS =
      List.of(
          "name", "select", "precedence", "importance", "unrepeatable", "retries", "deadlineMs");
  private static final List<String> DEFAULT_KEYS =
      List.of("importance", "unrepeatable", "retries", "deadlineMs");
  private static final int MAX_LABEL_VALUE_LENGTH = 256;

  private final Set<String> services = new LinkedHashSet<>();
  private final List<LabellingRule> labelling = new ArrayList<>();
  private final List<PolicyRule> rules = new ArrayList<>();
  private final Map<PolicyProperty, Long> defaults = new EnumMap<>(PolicyProperty.class);
  private final Map<String, Integer> lineOfName = new HashMap<>();
  private final ContradictionChecker contradictions = new ContradictionChecker();

  private ConfigurationParser() {}

  /**
   * Parses a document.
   *
   * @param file the name of the document in error messages
   * @param text the text of the document
   * @param version the configuration version of the document, or {@link Configuration#NOT_APPLIED}
   */
  public static Either<Failure, Configuration> parse(String file, String text, long version) {
    try {
      ConfigurationParser parser = new ConfigurationParser();
      parser.read(DocumentReader.read(file, text));
      return Either.right(
          new Configuration(
              version,
              text,
              List.copyOf(parser.services),
              parser.labelling,
              parser.rules,
              parser.defaults));
    } catch (InvalidDocumentException e) {
      return Either.left(e.failure());
    }
  }

  private void read(DocumentValue value) throws InvalidDocumentException {
    DocumentSection document = value.asSection(DOCUMENT_KEYS);
    readServices(document.listOrEmpty("services"));
    List<DocumentValue> ruleValues = document.required("rules").asList();
    List<DocumentValue> labellingValues = document.listOrEmpty("labelling");
    if (ruleValues.size() + labellingValues.size() > RuleTable.MAX_RULES) {
      throw document
          .required("rules")
          .error(
              ResultCode.SETTINGS_RANGE, "at most " + RuleTable.MAX_RULES + " rules are allowed");
    }
    for (DocumentValue rule : labellingValues) {
      labelling.add(labellingRule(rule.asSection(LABELLING_KEYS)));
    }
    for (DocumentValue rule : ruleValues) {
      rules.add(policyRule(rule.asSection(RULE_KEYS)));
    }
    for (PolicyProperty property : PolicyProperty.values()) {
      defaults.put(property, property.builtInDefault());
    }
    if (document.optional("defaults").isPresent()) {
      defaults.putAll(properties(document.required("defaults").asSection(DEFAULT_KEYS)));
    }
  }

  private void readServices(List<DocumentValue> values) throws InvalidDocumentException {
    for (DocumentValue value : values) {
      if (!services.add(name(value))) {
        throw value.error(
            ResultCode.SETTINGS_DUPLICATE_KEY, "the service is already listed; list each once");
      }
    }
  }

  private static String name(DocumentValue value) throws InvalidDocumentException {
    String name = value.asString();
    if (!SelectorParser.isName(name)) {
      throw value.error(
          ResultCode.SETTINGS_RANGE,
          "must consist of lower-case letters, digits, \".\", \"_\" and \"-\", not \""
              + name
              + "\"");
    }
    return name;
  }

  private String ruleName(DocumentSection rule) throws InvalidDocumentException {
    DocumentValue value = rule.required("name");
    String name = name(value);
    Integer line = lineOfName.putIfAbsent(name, value.line());
    if (line != null) {
      throw value.error(
          ResultCode.SETTINGS_DUPLICATE_KEY,
          "the name " + name + " is already used in line " + line + "; names must be unique");
    }
    return name;
  }

  private ParsedSelector selector(DocumentValue value) throws InvalidDocumentException {
    Either<Failure, ParsedSelector> parsed = SelectorParser.parse(value.asString());
    if (parsed.isLeft()) {
      throw value.error(parsed.getLeft().code(), parsed.getLeft().detail());
    }
    ParsedSelector selector = parsed.get();
    Set<String> unknown = new LinkedHashSet<>();
    selector.listedValues(Attribute.SERVICE).ifPresent(unknown::addAll);
    unknown.removeAll(services);
    if (!services.isEmpty() && !unknown.isEmpty()) {
      throw value.error(
          ResultCode.SELECTOR_NEVER_MATCHES,
          "can never match service " + unknown + "; the listed services are " + services);
    }
    return selector;
  }

  private LabellingRule labellingRule(DocumentSection section) throws InvalidDocumentException {
    String name = ruleName(section);
    DocumentValue when = section.required("when");
    ParsedSelector selector = selector(when);
    for (String attribute : selector.names()) {
      if (!Attribute.isBuiltIn(attribute)) {
        throw when.error(
            ResultCode.SELECTOR_SYNTAX,
            "labelling rules select on "
                + String.join(", ", Attribute.BUILT_INS)
                + " only, not on the label "
                + attribute);
      }
    }
    Map<String, String> labels = labels(section.required("attach"));
    for (Map.Entry<String, String> label : labels.entrySet()) {
      contradictions.addLabel(selector, label.getKey(), label.getValue(), name, section.owner());
    }
    return new LabellingRule(name, selector, Labels.of(labels));
  }

  private static Map<String, String> labels(DocumentValue attach) throws InvalidDocumentException {
    Map<String, String> labels = new TreeMap<>();
    for (Map.Entry<String, DocumentValue> entry : attach.asMap().entrySet()) {
      String name = entry.getKey();
      DocumentValue value = entry.getValue();
      if (!SelectorParser.isName(name) || Attribute.isBuiltIn(name)) {
        throw value.error(
            ResultCode.SETTINGS_RANGE,
            "a label name consists of lower-case letters, digits, \".\", \"_\" and \"-\" and is"
                + " none of "
                + String.join(", ", Attribute.BUILT_INS));
      }
      String text = value.asString();
      if (text.isEmpty() || text.length() > MAX_LABEL_VALUE_LENGTH) {
        throw value.error(
            ResultCode.SETTINGS_RANGE,
            "must have 1 to " + MAX_LABEL_VALUE_LENGTH + " characters, not " + text.length());
      }
      labels.put(name, text);
    }
    if (labels.isEmpty()) {
      throw attach.error(ResultCode.SETTINGS_MISSING_KEY, "must name at least one label");
    }
    return labels;
  }

  private PolicyRule policyRule(DocumentSection section) throws InvalidDocumentException {
    String name = ruleName(section);
    ParsedSelector selector = selector(section.required("select"));
    int precedence =
        (int) section.longOr("precedence", 0, PolicyRule.MIN_PRECEDENCE, PolicyRule.MAX_PRECEDENCE);
    Map<PolicyProperty, Long> values = properties(section);
    if (values.isEmpty()) {
      throw section
          .owner()
          .error(
              ResultCode.SETTINGS_MISSING_KEY,
              "must set at least one of " + String.join(", ", DEFAULT_KEYS));
    }
    PolicyRule rule = new PolicyRule(name, selector, precedence, values);
    contradictions.addRule(rule, section.owner());
    return rule;
  }

  private static Map<PolicyProperty, Long> properties(DocumentSection section)
      throws InvalidDocumentException {
    Map<PolicyProperty, Long> values = new EnumMap<>(PolicyProperty.class);
    for (PolicyProperty property : PolicyProperty.values()) {
      if (section.optional(property.key()).isPresent()) {
        DocumentValue value = section.required(property.key());
        values.put(
            property,
            property.isBoolean()
                ? (value.asBoolean() ? 1L : 0L)
                : value.asLong(property.min(), property.max()));
      }
    }
    return values;
  }
}
