package dev.arbutusroad.tools.trace;

import static org.assertj.core.api.Assertions.assertThat;

import dev.arbutusroad.core.config.ConfigurationParser;
import dev.arbutusroad.core.result.ResultCode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

final class TraceFilesTest {
  private static final String HEADER = "{\"trace\":1,\"name\":\"t\",\"attemptMillis\":100}";

  /** Guards against a trace that is not reproducible and against fields lost in its file. */
  @ParameterizedTest
  @ValueSource(strings = {"muscat", "steiermark"})
  void sameSeedGivesTheSameTraceAndFile(String name, @TempDir Path directory) throws IOException {
    TraceProfile profile = TraceProfile.read(Path.of("..", "traces", name + ".profile.json")).get();
    Trace trace = TraceGenerator.generate(profile, 7);
    Path file = directory.resolve("trace");
    TraceFiles.write(file, trace);

    assertThat(TraceFiles.read(file).get()).isEqualTo(trace);
    assertThat(TraceGenerator.generate(profile, 7)).isEqualTo(trace);
    assertThat(TraceGenerator.generate(profile, 8)).isNotEqualTo(trace);
    TracePhase overload = trace.phase("overload").orElseThrow();
    long calls = trace.calls().stream().filter(c -> overload.contains(c.atMillis())).count();
    // 600 calls a second for 6 s; 5 standard deviations of a Poisson count.
    assertThat((double) calls)
        .isBetween(3_600 - 5 * Math.sqrt(3_600), 3_600 + 5 * Math.sqrt(3_600));
    assertThat(trace.calls().stream().map(TraceCall::orderKey).filter(key -> !key.isEmpty()))
        .isNotEmpty()
        .doesNotHaveDuplicates();
  }

  /** Guards against an experiment whose configuration the nodes reject. */
  @ParameterizedTest
  @ValueSource(strings = {"muscat", "steiermark"})
  void experimentConfigurationIsValid(String name) throws IOException {
    String file = name + ".config.json";
    String text = Files.readString(Path.of("..", "traces", file));

    assertThat(ConfigurationParser.parse(file, text, 1).isRight()).isTrue();
  }

  /** Guards against a partial replay of a malformed trace and an error without the line number. */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "{'trace':2,'attemptMillis':1} | line 1: ",
        "HEADER~{'at':1,'service':'a'} | line 2: ",
        "HEADER~{'at':1,'service':'a','path':'/','deadlineMillis':5,'unknown':1} | line 2: ",
        "HEADER~{'control':'a','at':1,'change':5} | line 2: ",
        "HEADER~{'phase':'p','start':5,'end':5} | line 2: ",
      })
  void malformedLineIsRejectedWithItsNumber(String text, String detail) throws IOException {
    List<String> lines = List.of(text.replace("HEADER", HEADER).replace('\'', '"').split("~", -1));

    assertThat(TraceFiles.parse("t", lines).getLeft().code()).isEqualTo(ResultCode.SETTINGS_SYNTAX);
    assertThat(TraceFiles.parse("t", lines).getLeft().detail()).contains(detail);
  }

  /** Guards against an empty file taken for a trace without calls. */
  @Test
  void emptyFileIsRejected(@TempDir Path directory) throws IOException {
    assertThat(TraceFiles.read(Files.createFile(directory.resolve("empty"))).isLeft()).isTrue();
  }
}
