package dev.arbutusroad.cli;

import dev.arbutusroad.core.config.Configuration;
import dev.arbutusroad.core.config.PolicyExplanation;
import dev.arbutusroad.core.config.PolicyRule;
import dev.arbutusroad.core.label.CallAttributes;
import dev.arbutusroad.core.label.Labels;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.kohsuke.args4j.Option;

/** Prints which rule determines each property of a call. */
final class ConfigExplainCommand implements Command {
  private static final char EQUALS = '=';

  @Override
  public String name() {
    return "config explain";
  }

  @Override
  public String summary() {
    return "show which rule determines each property of a call";
  }

  @Override
  public int run(List<String> args, PrintStream out, PrintStream err) {
    Options options = new Options();
    return CommandLine.parse(this, options, args, out, err).orElseGet(() -> run(options, out, err));
  }

  private static int run(Options options, PrintStream out, PrintStream err) {
    Map<String, String> labels = new TreeMap<>();
    for (String label : options.labels) {
      int equals = label.indexOf(EQUALS);
      if (equals < 1) {
        return CommandLine.badUsage(err, "config explain: --label must be name=value");
      }
      labels.put(label.substring(0, equals), label.substring(equals + 1));
    }
    CallAttributes call =
        new CallAttributes(
            options.service,
            options.method.toUpperCase(Locale.ROOT),
            options.path,
            options.caller,
            Labels.of(labels));
    if (options.file != null) {
      return StoreOptions.exitStatus(
          err, ConfigurationFiles.read(options.file).map(found -> explain(found, call, out)));
    }
    return options.withStore(
        err,
        store ->
            StoredVersions.find(store, options.version).map(found -> explain(found, call, out)));
  }

  private static int explain(Configuration configuration, CallAttributes call, PrintStream out) {
    PolicyExplanation explanation = configuration.explain(call);
    out.println("labels: " + explanation.labels() + " by " + explanation.labelledBy());
    out.println("kind: " + explanation.kind());
    for (PolicyExplanation.Property property : explanation.properties()) {
      out.printf(
          "%s: %s by %s%s%n",
          property.property(),
          property.property().format(property.value()),
          property.winner().map(ConfigExplainCommand::describe).orElse("the defaults"),
          property.overruled().isEmpty() ? "" : ", overruling " + property.overruled());
    }
    return OK;
  }

  private static String describe(PolicyRule rule) {
    return "rule %s (precedence %d, %s)".formatted(rule.name(), rule.precedence(), rule.select());
  }

  /** Options of the command. */
  private static final class Options extends StoreOptions {
    @Option(name = "--file", metaVar = "FILE", usage = "explain a file instead of a version")
    private String file;

    @Option(name = "--version", metaVar = "VERSION", usage = "default: the version in force")
    private long version;

    @Option(name = "--service", metaVar = "NAME", required = true, usage = "the service called")
    private String service;

    @Option(name = "--method", metaVar = "METHOD", usage = "the HTTP method")
    private String method = "GET";

    @Option(name = "--path", metaVar = "PATH", usage = "the path without the query")
    private String path = "/";

    @Option(name = "--caller", metaVar = "NAME", usage = "the calling service")
    private String caller = CallAttributes.EXTERNAL;

    @Option(name = "--label", metaVar = "NAME=VALUE", usage = "a label of the call; repeatable")
    private List<String> labels = new ArrayList<>();
  }
}
