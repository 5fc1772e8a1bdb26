package dev.arbutusroad.core.config;

import static org.assertj.core.api.Assertions.assertThat;

import dev.arbutusroad.core.document.DocumentReader;
import dev.arbutusroad.core.label.CallAttributes;
import dev.arbutusroad.core.label.Labels;
import dev.arbutusroad.core.settings.NodeSettings;
import dev.arbutusroad.core.settings.NodeSettingsParser;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

final class ExampleFilesTest {
  private static final Path CONFIG = Path.of("..", "config");

  /** Guards against examples that assign a wrong importance band or let an order run twice. */
  @ParameterizedTest
  @CsvSource({
    "muscat,     orders,     POST, /manifold-orders, external, critical,   true",
    "muscat,     orders,     GET,  /manifold-orders, external, important,  false",
    "muscat,     drawings,   PUT,  /scans/7,         external, important,  false",
    "muscat,     drawings,   GET,  /scans/7,         planner,  normal,     false",
    "muscat,     planner,    GET,  /plans/7,         external, important,  false",
    "muscat,     zoning,     GET,  /zones/7,         external, normal,     false",
    "muscat,     zoning,     GET,  /checks/quota,    planner,  background, false",
    "muscat,     zoning,     GET,  /checks/quota,    external, normal,     false",
    "muscat,     planner,    PUT,  /elsewhere,       external, normal,     false",
    "steiermark, bestellung, POST, /restock/stall-3, external, critical,   true",
    "steiermark, bilder,     POST, /photos,          external, important,  false",
    "steiermark, lager,      GET,  /levels/butter,   external, important,  false",
    "steiermark, rezepte,    GET,  /cards/1,         external, normal,     false",
    "steiermark, lager,      GET,  /checks/levels,   rezepte,  background, false",
  })
  void configurationAssignsTheStatedPolicy(
      String installation,
      String service,
      String method,
      String path,
      String caller,
      String band,
      boolean unrepeatable) {
    String file = CONFIG.resolve(installation).resolve("configuration.json").toString();
    Configuration configuration =
        ConfigurationParser.parse(file, DocumentReader.load(Path.of(file)).get(), 1).get();

    CallPolicy policy =
        configuration.resolve(new CallAttributes(service, method, path, caller, Labels.empty()));

    assertThat(bandOf(policy.importance())).isEqualTo(band);
    assertThat(policy.unrepeatable()).isEqualTo(unrepeatable);
  }

  /** Guards against example settings that a node rejects or that name an unknown service. */
  @ParameterizedTest
  @ValueSource(strings = {"muscat", "steiermark"})
  void settingsAreValid(String installation) throws IOException {
    Path directory = CONFIG.resolve(installation);
    String document = DocumentReader.load(directory.resolve("configuration.json")).get();
    List<String> services = ConfigurationParser.parse("c", document, 1).get().services();
    try (Stream<Path> files = Files.list(directory)) {
      List<NodeSettings> nodes =
          files
              .filter(file -> file.getFileName().toString().startsWith("node-"))
              .map(
                  file ->
                      NodeSettingsParser.parse(file.toString(), DocumentReader.load(file).get())
                          .get())
              .toList();
      assertThat(nodes.stream().map(node -> node.service().orElseThrow()))
          .containsExactlyInAnyOrderElementsOf(services);
    }
  }

  private static String bandOf(int importance) {
    if (importance >= CallPolicy.CRITICAL_IMPORTANCE) {
      return "critical";
    }
    if (importance >= CallPolicy.IMPORTANT_IMPORTANCE) {
      return "important";
    }
    return importance >= CallPolicy.NORMAL_IMPORTANCE ? "normal" : "background";
  }
}
