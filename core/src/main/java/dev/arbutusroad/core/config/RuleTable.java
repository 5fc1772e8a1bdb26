package dev.arbutusroad.core.config;

import dev.arbutusroad.core.label.CallAttributes;
import dev.arbutusroad.core.label.Labels;
import dev.arbutusroad.core.selector.Attribute;
import dev.arbutusroad.core.selector.ParsedSelector;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The rules of one configuration, compiled for resolving policies.
 *
 * <p>Rules are sorted by precedence and indexed by the service or label values that their selectors
 * list. Each combination of winning rules has one cached {@link CallPolicy}. A combination is
 * packed into a long with 16 bits for each property, which hold the number of the winning rule.
 */
final class RuleTable {
  static final int MAX_RULES = 10_000;

  /** Bounds memory. Once the cache is full, policies of other combinations are built per call. */
  private static final int MAX_CACHED_POLICIES = 10_000;

  private static final int BITS_PER_RULE = 16;
  private static final long RULE_BITS = (1L << BITS_PER_RULE) - 1;
  private static final PolicyProperty[] PROPERTIES = PolicyProperty.values();

  /** The rule number of the defaults; the numbers of rules start at 1. */
  private static final int DEFAULTS = 0;

  private final List<PolicyRule> sortedRules;
  private final Map<PolicyProperty, Long> defaults;
  private final LabellingRule[] labelling;
  private final Map<String, LabellingRule[]> labellingOfService = new HashMap<>();
  private final LabellingRule[] labellingOfUnlistedServices;
  private final CompiledRule[] unindexed;
  private final List<RuleIndex> indexes = new ArrayList<>();
  private final Map<Long, CallPolicy> policyCache = new ConcurrentHashMap<>();

  RuleTable(
      List<LabellingRule> labelling, List<PolicyRule> rules, Map<PolicyProperty, Long> defaults) {
    this.sortedRules = rules.stream().sorted(PolicyRule.WINNER_FIRST).toList();
    this.defaults = Map.copyOf(defaults);
    this.labelling = labelling.stream().sorted(winnerLast()).toArray(LabellingRule[]::new);
    Set<String> services = new TreeSet<>();
    labelling.forEach(
        rule -> rule.when().listedValues(Attribute.SERVICE).ifPresent(services::addAll));
    services.forEach(service -> labellingOfService.put(service, labellingRulesFor(service)));
    this.labellingOfUnlistedServices = labellingRulesFor(null);
    this.unindexed = index();
  }

  /** Labels attached later replace earlier ones, so the more specific rule is sorted last. */
  private static Comparator<LabellingRule> winnerLast() {
    return Comparator.comparing((LabellingRule rule) -> rule.when().requirements().size())
        .thenComparing(LabellingRule::name, Comparator.reverseOrder());
  }

  private LabellingRule[] labellingRulesFor(String service) {
    return Arrays.stream(labelling)
        .filter(
            rule ->
                rule.when()
                    .listedValues(Attribute.SERVICE)
                    .map(values -> service != null && values.contains(service))
                    .orElse(true))
        .toArray(LabellingRule[]::new);
  }

  /** Adds each rule to the index of one attribute and returns the rules that cannot be indexed. */
  private CompiledRule[] index() {
    Map<String, Map<String, List<CompiledRule>>> rulesByAttribute = new TreeMap<>();
    List<CompiledRule> notIndexed = new ArrayList<>();
    for (int i = 0; i < sortedRules.size(); i++) {
      PolicyRule rule = sortedRules.get(i);
      CompiledRule compiled = new CompiledRule(i + 1, rule.select(), mask(rule));
      Optional<String> attribute = indexedAttribute(rule.select());
      if (attribute.isEmpty()) {
        notIndexed.add(compiled);
      } else {
        Map<String, List<CompiledRule>> values =
            rulesByAttribute.computeIfAbsent(attribute.get(), name -> new HashMap<>());
        for (String value : rule.select().listedValues(attribute.get()).orElseThrow()) {
          values.computeIfAbsent(value, name -> new ArrayList<>()).add(compiled);
        }
      }
    }
    rulesByAttribute.forEach((name, values) -> indexes.add(new RuleIndex(name, values)));
    return notIndexed.toArray(CompiledRule[]::new);
  }

  /** Returns the service if the selector lists its values, else a label whose values it lists. */
  private static Optional<String> indexedAttribute(ParsedSelector selector) {
    if (selector.listedValues(Attribute.SERVICE).isPresent()) {
      return Optional.of(Attribute.SERVICE);
    }
    return selector.names().stream()
        .filter(name -> !Attribute.isBuiltIn(name) && selector.listedValues(name).isPresent())
        .sorted()
        .findFirst();
  }

  private static int mask(PolicyRule rule) {
    return rule.values().keySet().stream().mapToInt(property -> 1 << property.slot()).sum();
  }

  /** Returns the call with the labels that the labelling rules attach. */
  CallAttributes withAttachedLabels(CallAttributes call) {
    Labels labels = call.labels();
    boolean attached = false;
    for (LabellingRule rule :
        labellingOfService.getOrDefault(call.service(), labellingOfUnlistedServices)) {
      if (rule.when().matches(call)) {
        labels = labels.with(rule.attach());
        attached = true;
      }
    }
    return attached
        ? new CallAttributes(call.service(), call.method(), call.path(), call.caller(), labels)
        : call;
  }

  CallPolicy resolve(CallAttributes call) {
    CallAttributes labelled = withAttachedLabels(call);
    long winners = updateWinners(unindexed, labelled, 0);
    for (int i = 0; i < indexes.size(); i++) {
      winners = updateWinners(indexes.get(i).candidates(labelled), labelled, winners);
    }
    CallPolicy policy = policyCache.get(winners);
    return policy != null ? policy : buildAndCache(winners);
  }

  /** Returns the winners among the given winners and the matching candidates. */
  private static long updateWinners(CompiledRule[] candidates, CallAttributes call, long winners) {
    long best = winners;
    for (CompiledRule candidate : candidates) {
      long updated = addWinner(best, candidate);
      if (updated != best && candidate.selector.matches(call)) {
        best = updated;
      }
    }
    return best;
  }

  /** Returns the winners on the assumption that the candidate matches. */
  private static long addWinner(long winners, CompiledRule candidate) {
    long updated = winners;
    for (PolicyProperty property : PROPERTIES) {
      int bit = 1 << property.slot();
      int current = winnerOf(winners, property);
      if ((candidate.mask & bit) != 0 && (current == DEFAULTS || candidate.number < current)) {
        int shift = property.slot() * BITS_PER_RULE;
        updated &= ~(RULE_BITS << shift);
        updated |= (long) candidate.number << shift;
      }
    }
    return updated;
  }

  private CallPolicy buildAndCache(long winners) {
    CallPolicy policy = build(winners);
    if (policyCache.size() < MAX_CACHED_POLICIES) {
      policyCache.put(winners, policy);
    }
    return policy;
  }

  private CallPolicy build(long winners) {
    Set<String> names = new LinkedHashSet<>();
    for (PolicyProperty property : PROPERTIES) {
      int number = winnerOf(winners, property);
      if (number != DEFAULTS) {
        names.add(sortedRules.get(number - 1).name());
      }
    }
    return new CallPolicy(
        names.isEmpty() ? CallPolicy.DEFAULT_KIND : String.join("+", names),
        (int) value(winners, PolicyProperty.IMPORTANCE),
        value(winners, PolicyProperty.UNREPEATABLE) != 0,
        (int) value(winners, PolicyProperty.RETRIES),
        value(winners, PolicyProperty.DEADLINE));
  }

  private static int winnerOf(long winners, PolicyProperty property) {
    return (int) ((winners >>> (property.slot() * BITS_PER_RULE)) & RULE_BITS);
  }

  private long value(long winners, PolicyProperty property) {
    int number = winnerOf(winners, property);
    return number == DEFAULTS
        ? defaults.get(property)
        : sortedRules.get(number - 1).values().get(property);
  }

  /** Returns the rules that match a labelled call and set the property, the winner first. */
  List<PolicyRule> matching(CallAttributes labelled, PolicyProperty property) {
    return sortedRules.stream()
        .filter(rule -> rule.values().containsKey(property) && rule.select().matches(labelled))
        .toList();
  }

  /** Returns the labelling rules that match a call. */
  List<LabellingRule> labellingOf(CallAttributes call) {
    return Arrays.stream(labelling).filter(rule -> rule.when().matches(call)).toList();
  }

  /** The rules that list values of one attribute, by value, in order of precedence. */
  private static final class RuleIndex {
    private static final CompiledRule[] NONE = {};

    private final Attribute attribute;
    private final Map<String, CompiledRule[]> byValue = new HashMap<>();

    RuleIndex(String name, Map<String, List<CompiledRule>> rules) {
      this.attribute = Attribute.named(name);
      rules.forEach((value, list) -> byValue.put(value, list.toArray(CompiledRule[]::new)));
    }

    CompiledRule[] candidates(CallAttributes call) {
      String value = attribute.value(call);
      return value == null ? NONE : byValue.getOrDefault(value, NONE);
    }
  }

  private static final class CompiledRule {
    final int number;
    final ParsedSelector selector;
    final int mask;

    CompiledRule(int number, ParsedSelector selector, int mask) {
      this.number = number;
      this.selector = selector;
      this.mask = mask;
    }
  }
}
