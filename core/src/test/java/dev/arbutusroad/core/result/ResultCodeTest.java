package dev.arbutusroad.core.result;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

final class ResultCodeTest {
  private static final Path TABLE = Path.of("..", "docs", "result-codes.md");

  /** Guards against outcomes that operators cannot distinguish. */
  @Test
  void numbersAreUnique() {
    assertThat(Arrays.stream(ResultCode.values()).map(ResultCode::number)).doesNotHaveDuplicates();
  }

  /** Guards against a documented table of result codes that differs from the code. */
  @Test
  void docsListExactlyTheCodes() throws IOException {
    List<String> rows =
        Files.readAllLines(TABLE).stream().filter(line -> line.matches("\\| \\d+ .*")).toList();

    assertThat(rows).isEqualTo(Arrays.stream(ResultCode.values()).map(this::row).toList());
  }

  private String row(ResultCode code) {
    return "| %d | %s | %s | %s | %s |"
        .formatted(
            code.number(),
            code,
            code.httpStatus() == 0 ? "-" : code.httpStatus(),
            code.runState() == RunState.NOT_APPLICABLE ? "-" : code.runState(),
            code.summary());
  }
}
