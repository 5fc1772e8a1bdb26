package dev.arbutusroad.core.settings;

import static org.assertj.core.api.Assertions.assertThat;

import dev.arbutusroad.core.result.Failure;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class NodeSettingsParserTest {
  private static final String SECRET = "0123456789abcdef0123456789abcdef";
  private static final String VALID =
      """
      {
        "id": "planner-1", "host": "10.1.0.4",
        "region": "muscat", "failureDomain": "muscat-a",
        "listeners": {
          "caller": "0.0.0.0:7101", "exit": "127.0.0.1:7102",
          "peer": "0.0.0.0:7103", "admin": "127.0.0.1:7104"},
        "platform": "10.1.0.200:7000",
        "sharedSecret": "%s",
        "seeds": ["10.1.0.5:7103", "[fd00::5]:7103"]
      }
      """
          .formatted(SECRET);

  /** Guards against defaults or advertised addresses that differ from the documented ones. */
  @Test
  void readsSettingsAndAppliesDefaults() {
    NodeSettings settings = NodeSettingsParser.parse("n.json", VALID).get();

    assertThat(settings.advertisedCaller().toString()).isEqualTo("/10.1.0.4:7101");
    assertThat(settings.advertisedPeer().getPort()).isEqualTo(7103);
    assertThat(settings.limits()).isEqualTo(Limits.defaults());
    assertThat(settings.service()).isEmpty();
    assertThat(settings.seeds()).hasSize(2);
  }

  /** Guards against leaking the secret in a log line or an error. */
  @Test
  void textsAndErrorsDoNotContainTheSecret() {
    assertThat(NodeSettingsParser.parse("n.json", VALID).get().toString()).doesNotContain(SECRET);
    String digits = "12345678901234567890123456789012";
    for (String broken :
        List.of(
            "\"" + SECRET + "\" x",
            "x" + SECRET,
            SECRET,
            digits,
            "'" + SECRET,
            "[" + digits + "]")) {
      String text = VALID.replace("\"" + SECRET + "\"", broken);
      assertThat(NodeSettingsParser.parse("n.json", text).getLeft().detail())
          .as(broken)
          .doesNotContain(SECRET.substring(1, 9), "23456789", "1.234567");
    }
  }

  /** Guards against starting a node that is unreachable or uses a wrong address. */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '`',
      value = {
        "'seeds':            | 'seed':              | 302 | 9 | seed: unknown key; allowed are id,",
        "'region': 'muscat'  | 'id': 'x'            | 303 | 3  | id: the key already occurs in line 2",
        "'platform': '10.1.0.200:7000', | `` | 304 | 1  | the required key platform is missing",
        "'admin': '127.0.0.1:7104'} | }             | 304 | 4  | the required key admin is missing",
        "'0.0.0.0:7103'      | 7103                 | 305 | 6  | listeners.peer: must be a string",
        "['10.1.0.5:7103', '[fd00::5]:7103'] | 'x' | 305 | 9 | seeds: must be a list",
        "0.0.0.0:7103        | 0.0.0.0:7101         | 306 | 6  | the same port as listeners.caller",
        "0.0.0.0:7103        | 0.0.0.0:70000        | 306 | 6  | a port from 1 to 65535",
        "0.0.0.0:7103        | host-a:7103          | 306 | 6  | must be an IP address and a port",
        "0.0.0.0:7103        | 256.0.0.1:7103       | 306 | 6  | must be an IP address and a port",
        "fd00::5]            | fd00:zz]             | 306 | 9 | seeds[1]: must be an IP address",
        "10.1.0.4            | 0.0.0.0              | 306 | 2  | under which other hosts reach",
        "planner-1           | Planner 1            | 306 | 2  | lower-case letters",
        "0123456789abcdef012 | short                | 306 | 8  | must have 32 to 1024 characters",
        "'seeds'             | 'drainLimitMillis': 5, 'seeds' | 306 | 9 | 1000 to 3600000, not 5",
        "'seeds'             | 'queueLimit': true, 'seeds' | 305 | 9 | integer from 1 to 100000",
      })
  void invalidSettingsAreRejectedWithTheirLine(
      String old, String replacement, int code, int line, String detail) {
    String text = VALID.replace(old.replace('\'', '"'), replacement.replace('\'', '"'));

    Failure failure = NodeSettingsParser.parse("n.json", text).getLeft();

    assertThat(failure.code().number()).as(failure.detail()).isEqualTo(code);
    assertThat(failure.detail()).startsWith("n.json:" + line + ": ").contains(detail);
    assertThat(failure.detail()).doesNotContain(SECRET.substring(0, 16));
  }
}
