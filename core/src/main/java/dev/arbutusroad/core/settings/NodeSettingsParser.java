package dev.arbutusroad.core.settings;

import dev.arbutusroad.core.document.DocumentReader;
import dev.arbutusroad.core.document.DocumentSection;
import dev.arbutusroad.core.document.DocumentValue;
import dev.arbutusroad.core.document.InvalidDocumentException;
import dev.arbutusroad.core.net.Addresses;
import dev.arbutusroad.core.result.Failure;
import dev.arbutusroad.core.result.ResultCode;
import dev.arbutusroad.core.selector.SelectorParser;
import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

/** Parses the settings file of a node. */
public final class NodeSettingsParser {
  private static final List<String> KEYS =
      List.of(
          "id",
          "host",
          "region",
          "failureDomain",
          "service",
          "listeners",
          "platform",
          "sharedSecret",
          "seeds",
          "drainLimitMillis",
          "platformTimeoutMillis",
          "connectTimeoutMillis",
          "queueLimit",
          "announcementMillis",
          "deployment",
          "target");
  private static final List<String> LISTENER_KEYS = List.of("caller", "exit", "peer", "admin");
  private static final List<String> OPTIONAL_LISTENER_KEYS = List.of("announcements", "readiness");
  private static final List<String> ALL_LISTENER_KEYS =
      Stream.concat(LISTENER_KEYS.stream(), OPTIONAL_LISTENER_KEYS.stream()).toList();
  private static final int MAX_SEEDS = 64;

  private NodeSettingsParser() {}

  /**
   * Parses and validates settings.
   *
   * @param file the file name to show in errors
   * @param text the content of the file
   */
  public static Either<Failure, NodeSettings> parse(String file, String text) {
    try {
      return Either.right(read(DocumentReader.read(file, text).asSection(KEYS)));
    } catch (InvalidDocumentException e) {
      return Either.left(e.failure());
    }
  }

  private static NodeSettings read(DocumentSection settings) throws InvalidDocumentException {
    DocumentValue service = settings.optional("service").orElse(null);
    return new NodeSettings(
        name(settings.required("id")),
        host(settings.required("host")),
        name(settings.required("region")),
        name(settings.required("failureDomain")),
        service == null ? Optional.empty() : Optional.of(name(service)),
        optionalAddress(settings, "target"),
        listeners(settings.required("listeners")),
        address(settings.required("platform")),
        secret(settings.required("sharedSecret")),
        seeds(settings),
        deployment(settings),
        limits(settings));
  }

  private static DeploymentKind deployment(DocumentSection settings)
      throws InvalidDocumentException {
    if (settings.optional("deployment").isEmpty()) {
      return DeploymentKind.ARBUTUS;
    }
    DocumentValue value = settings.required("deployment");
    String name = value.asString();
    return Arrays.stream(DeploymentKind.values())
        .filter(kind -> kind.key().equals(name))
        .findFirst()
        .orElseThrow(
            () ->
                value.error(
                    ResultCode.SETTINGS_RANGE,
                    "must be one of "
                        + Arrays.stream(DeploymentKind.values()).map(DeploymentKind::key).toList()
                        + ", not \""
                        + name
                        + "\""));
  }

  private static Limits limits(DocumentSection settings) throws InvalidDocumentException {
    return new Limits(
        settings.longOr(
            "drainLimitMillis",
            Limits.DEFAULT_DRAIN_LIMIT_MILLIS,
            Limits.MIN_DRAIN_LIMIT_MILLIS,
            Limits.MAX_DRAIN_LIMIT_MILLIS),
        settings.longOr(
            "platformTimeoutMillis",
            Limits.DEFAULT_PLATFORM_TIMEOUT_MILLIS,
            Limits.MIN_PLATFORM_TIMEOUT_MILLIS,
            Limits.MAX_PLATFORM_TIMEOUT_MILLIS),
        settings.longOr(
            "connectTimeoutMillis",
            Limits.DEFAULT_CONNECT_TIMEOUT_MILLIS,
            Limits.MIN_CONNECT_TIMEOUT_MILLIS,
            Limits.MAX_CONNECT_TIMEOUT_MILLIS),
        (int)
            settings.longOr(
                "queueLimit",
                Limits.DEFAULT_QUEUE_LIMIT,
                Limits.MIN_QUEUE_LIMIT,
                Limits.MAX_QUEUE_LIMIT),
        settings.longOr(
            "announcementMillis",
            Limits.DEFAULT_ANNOUNCEMENT_MILLIS,
            Limits.MIN_ANNOUNCEMENT_MILLIS,
            Limits.MAX_ANNOUNCEMENT_MILLIS));
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

  private static String host(DocumentValue value) throws InvalidDocumentException {
    String host = value.asString();
    boolean valid =
        host.indexOf('[') < 0
            && Addresses.parse(host.indexOf(':') < 0 ? host + ":1" : "[" + host + "]:1")
                .filter(address -> !address.getAddress().isAnyLocalAddress())
                .isPresent();
    if (!valid) {
      throw value.error(
          ResultCode.SETTINGS_RANGE,
          "must be the IP address under which other hosts reach this one, not \"" + host + "\"");
    }
    return host;
  }

  private static InetSocketAddress address(DocumentValue value) throws InvalidDocumentException {
    String text = value.asString();
    return Addresses.parse(text)
        .filter(address -> address.getPort() > 0)
        .orElseThrow(
            () ->
                value.error(
                    ResultCode.SETTINGS_RANGE,
                    "must be an IP address and a port from 1 to 65535, as in 10.0.0.1:7101, not \""
                        + text
                        + "\""));
  }

  private static Optional<InetSocketAddress> optionalAddress(DocumentSection section, String key)
      throws InvalidDocumentException {
    return section.optional(key).isPresent()
        ? Optional.of(address(section.required(key)))
        : Optional.empty();
  }

  private static Listeners listeners(DocumentValue value) throws InvalidDocumentException {
    DocumentSection section = value.asSection(ALL_LISTENER_KEYS);
    Map<Integer, String> listenerByPort = new HashMap<>();
    for (String key : ALL_LISTENER_KEYS) {
      if (OPTIONAL_LISTENER_KEYS.contains(key) && section.optional(key).isEmpty()) {
        continue;
      }
      DocumentValue listener = section.required(key);
      String earlier = listenerByPort.put(address(listener).getPort(), key);
      if (earlier != null) {
        throw listener.error(
            ResultCode.SETTINGS_RANGE,
            "has the same port as listeners." + earlier + "; each listener needs its own port");
      }
    }
    return new Listeners(
        address(section.required("caller")),
        address(section.required("exit")),
        address(section.required("peer")),
        address(section.required("admin")),
        optionalAddress(section, "announcements"),
        optionalAddress(section, "readiness"));
  }

  private static SharedSecret secret(DocumentValue value) throws InvalidDocumentException {
    if (!(value.content() instanceof String text)) {
      // DocumentValue.asString would show the secret in its error.
      throw value.error(ResultCode.SETTINGS_TYPE, "must be a string");
    }
    if (text.length() < SharedSecret.MIN_LENGTH || text.length() > SharedSecret.MAX_LENGTH) {
      throw value.error(
          ResultCode.SETTINGS_RANGE,
          "must have %d to %d characters, not %d"
              .formatted(SharedSecret.MIN_LENGTH, SharedSecret.MAX_LENGTH, text.length()));
    }
    return new SharedSecret(text);
  }

  private static List<InetSocketAddress> seeds(DocumentSection settings)
      throws InvalidDocumentException {
    List<DocumentValue> values = settings.listOrEmpty("seeds");
    if (values.size() > MAX_SEEDS) {
      throw settings
          .required("seeds")
          .error(ResultCode.SETTINGS_RANGE, "at most " + MAX_SEEDS + " addresses are allowed");
    }
    List<InetSocketAddress> seeds = new ArrayList<>();
    for (DocumentValue value : values) {
      seeds.add(address(value));
    }
    return seeds;
  }
}
