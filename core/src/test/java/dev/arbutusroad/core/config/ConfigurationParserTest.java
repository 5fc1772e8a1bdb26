package dev.arbutusroad.core.config;

import static org.assertj.core.api.Assertions.assertThat;

import dev.arbutusroad.core.result.Failure;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class ConfigurationParserTest {
  private static final String RULE = "{\"name\": \"r\", \"select\": \"tier\", \"retries\": 1";

  /**
   * Guards against an invalid document that is accepted, and against an error that does not state
   * the location and the allowed values. In the table, {@code ~} stands for a line break, single
   * quotes stand for double quotes and {@code RULE} is a valid rule without its closing brace.
   */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '`',
      value = {
        "``                                 | 301 | 1 | empty",
        "{~'rules': [}                      | 301 | 2 | not valid JSON",
        "{'rules': []} x                    | 301 | 1 | not valid JSON",
        "{'rules':~[],~'rule': []}          | 302 | 3 | rule: unknown key; allowed are services",
        "{'rules': [~RULE, 'retry': 2}]}    | 302 | 2 | rules[0].retry: unknown key; allowed are",
        "{'rules': [],~'rules': []}         | 303 | 2 | rules: the key already occurs in line 1",
        "{'rules': [RULE},~RULE}]}          | 303 | 2 | the name r is already used in line 1",
        "{'services': ['a',~'a'], 'rules': []} | 303 | 2 | services[1]: the service is already",
        "~{'defaults': {}}                  | 304 | 2 | the required key rules is missing",
        "{'rules': [~{'name': 'r', 'retries': 1}]} | 304 | 2 | required key select",
        "{'rules': [~{'select': 'tier', 'retries': 1}]} | 304 | 2 | required key name",
        "{'rules': [~{'name': 'r', 'select': 'tier'}]} | 304 | 2 | set at least one of importance",
        "{'rules': [], 'labelling': [~{'name': 'l', 'when': 'path', 'attach': {}}]} "
            + "| 304 | 2 | attach: must name at least one label",
        "[]                                 | 305 | 1 | must be an object, not a list",
        "{'rules': {}}                      | 305 | 1 | rules: must be a list, not an object",
        "{'rules': [~RULE, 'importance': '90'}]} | 305 | 2 | integer from 0 to 100, not a string",
        "{'rules': [~RULE, 'importance': 9.5}]} | 305 | 2 | 0 to 100, not the number 9.5",
        "{'rules': [~RULE, 'unrepeatable': 1}]} | 305 | 2 | must be true or false, not the number",
        "{'rules': [~RULE, 'deadlineMs': null}]} | 305 | 2 | integer from 1 to 3600000, not null",
        "{'rules': [~RULE, 'precedence': 99999999999999999999}]} | 305 | 2 | from 0 to 1000",
        "{'rules': [~RULE, 'importance': 101}]} | 306 | 2 | rules[0].importance: must be an integer",
        "{'rules': [], 'defaults':~{'retries': -1}} | 306 | 2 | defaults.retries: must be",
        "{'rules': [~{'name': 'R 1', 'select': 'tier', 'retries': 1}]} | 306 | 2 | lower-case",
        "{'rules': [], 'labelling': [{'name': 'l', 'when': 'path',~'attach': {'service': 'x'}}]} "
            + "| 306 | 2 | a label name consists of",
        "{'rules': [{'name': 'r',~'select': 'tier =', 'retries': 1}]} | 307 | 2 | select: expected",
        "{'rules': [], 'labelling': [{'name': 'l',~'when': 'tier', 'attach': {'a': 'b'}}]} "
            + "| 307 | 2 | only, not on the label tier",
        "{'rules': [{'name': 'r',~'select': '!path', 'retries': 1}]} | 308 | 2 | can never match",
        "{'services': ['planner'], 'rules': [{'name': 'r', 'retries': 1,~"
            + "'select': 'service in (planner, plannr)'}]} | 308 | 2 | [plannr]; the listed",
        "{'rules': [RULE},~{'name': 's', 'select': ' tier ', 'retries': 2}]} "
            + "| 309 | 2 | s sets retries to 2, but r in line 1 has the same selector",
        "{'rules': [], 'labelling': [{'name': 'l', 'when': 'path', 'attach': {'a': 'b'}},~"
            + "{'name': 'm', 'when': 'path', 'attach': {'a': 'c'}}]} | 309 | 2 | m sets label a to c",
      })
  void invalidDocumentIsRejectedWithLocation(String table, int code, int line, String detail) {
    String text = table.replace("RULE", RULE).replace('~', '\n').replace('\'', '"');

    Failure failure = ConfigurationParser.parse("muscat.json", text, 1).getLeft();

    assertThat(failure.code().number()).as(failure.detail()).isEqualTo(code);
    assertThat(failure.detail()).startsWith("muscat.json:" + line + ": ").contains(detail);
    assertThat(failure.detail()).doesNotContain("\n");
  }

  /** Guards against rejecting documents that the configuration format allows. */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '`',
      value = {
        "{'rules': [],} // comment",
        "{/* a */ 'rules': [RULE, 'precedence': 1}, {'name': 's', 'select': 'tier', 'retries': 2}]}",
        "{'rules': [RULE}, {'name': 's', 'select': 'tier', 'retries': 1, 'importance': 3}]}",
      })
  void validDocumentIsAccepted(String table) {
    String text = table.replace("RULE", RULE).replace('\'', '"');

    assertThat(ConfigurationParser.parse("f", text, 7).get().version()).isEqualTo(7);
  }

  /**
   * Guards against a diff that omits a difference, so that an operator merges without seeing it.
   */
  @Test
  void diffShowsEachChangedRule() {
    Configuration first = parse("{'rules': [RULE}], 'defaults': {'retries': 1}}");
    Configuration second = parse("{'rules': [RULE, 'importance': 5}], 'defaults': {'retries': 1}}");
    Configuration third = parse("{'rules': [], 'defaults': {'retries': 1}}");

    assertThat(ConfigurationDiff.between(first, first).isEmpty()).isTrue();
    assertThat(ConfigurationDiff.between(first, second).lines())
        .containsExactly(
            "- rule r: select tier precedence 0 set {retries=1}",
            "+ rule r: select tier precedence 0 set {importance=5, retries=1}");
    assertThat(ConfigurationDiff.between(second, third).lines()).hasSize(1);
  }

  private static Configuration parse(String table) {
    return ConfigurationParser.parse("f", table.replace("RULE", RULE).replace('\'', '"'), 1).get();
  }
}
