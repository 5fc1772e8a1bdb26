package dev.arbutusroad.core.route;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import dev.arbutusroad.core.label.Labels;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class RouteTableTest {
  private final RouteTable table =
      new RouteTable(
          List.of(
              route("short", "a.example", "/x/", new Destination("one", 1)),
              route("long", "a.example", "/x/y/", new Destination("two", 1)),
              route("root", "b.example", "/", new Destination("three", 1))));

  /** Guards against a route other than the one with the longest prefix of the same host. */
  @ParameterizedTest
  @CsvSource({
    "a.example,      /x/1,    short",
    "A.Example:8080, /x/1,    short",
    "a.example,      /x/y/1,  long",
    "a.example,      /x/y,    short",
    "a.example,      /x/yz/1, short",
    "b.example,      /,       root",
    "b.example,      /x/1,    root",
    "a.example,      /x,      none",
    "a.example,      /,       none",
    "c.example,      /x/1,    none",
    "[::1]:80,       /x/1,    none",
  })
  void routeWithTheLongestPrefixOfTheHostIsFound(String host, String path, String name) {
    assertThat(table.find(host, path).map(Route::name).orElse("none")).isEqualTo(name);
  }

  /** Guards against traffic shares that differ from the weights. */
  @Test
  void destinationsAreDrawnInProportionToTheirWeights() {
    Route route =
        route(
            "split",
            "a.example",
            "/",
            new Destination("most", 90),
            new Destination("never", 0),
            new Destination("few", 10));
    SplittableRandom random = new SplittableRandom(7);
    Map<String, Integer> drawn = new HashMap<>();
    for (int i = 0; i < 10_000; i++) {
      drawn.merge(route.draw(random), 1, Integer::sum);
    }
    assertThat(drawn).containsOnlyKeys("most", "few");
    assertThat(drawn.get("few")).isBetween(900, 1_100);
  }

  /** Guards against routes that cannot serve a call. */
  @Test
  void routeWithoutDestinationOrSlashIsRejected() {
    assertThatThrownBy(() -> route("r", "h", "/x/", new Destination("none", 0)))
        .isInstanceOf(IllegalArgumentException.class);
    assertThatThrownBy(() -> route("r", "h", "/x", new Destination("one", 1)))
        .isInstanceOf(IllegalArgumentException.class);
  }

  private static Route route(String name, String host, String prefix, Destination... to) {
    return new Route(name, host, prefix, List.of(to), Labels.empty());
  }
}
