package dev.arbutusroad.tools.trace;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import dev.arbutusroad.core.result.Failure;
import dev.arbutusroad.core.result.ResultCode;
import io.vavr.control.Either;
import java.io.BufferedWriter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Reads and writes traces as JSON lines. */
public final class TraceFiles {
  private static final ObjectMapper MAPPER =
      JsonMapper.builder().enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION).build();

  private TraceFiles() {}

  /** Reads a trace; the failure for a malformed line contains the line number. */
  public static Either<Failure, Trace> read(Path file) {
    try {
      return parse(file.toString(), Files.readAllLines(file));
    } catch (IOException e) {
      return Either.left(
          new Failure(ResultCode.SETTINGS_UNREADABLE, "can't read trace " + file + ": " + e));
    }
  }

  static Either<Failure, Trace> parse(String name, List<String> lines) {
    TraceHeader header = null;
    List<TracePhase> phases = new ArrayList<>();
    List<TraceControl> controls = new ArrayList<>();
    List<TraceCall> calls = new ArrayList<>();
    for (int i = 0; i < lines.size(); i++) {
      try {
        JsonNode line = MAPPER.readTree(lines.get(i));
        if (header == null) {
          header = MAPPER.treeToValue(line, TraceHeader.class);
        } else if (line.has("phase")) {
          phases.add(MAPPER.treeToValue(line, TracePhase.class));
        } else if (line.has("control")) {
          controls.add(MAPPER.treeToValue(line, TraceControl.class));
        } else {
          calls.add(MAPPER.treeToValue(line, TraceCall.class));
        }
      } catch (JsonProcessingException e) {
        return Either.left(
            new Failure(
                ResultCode.SETTINGS_SYNTAX,
                "trace %s, line %d: %s".formatted(name, i + 1, e.getOriginalMessage())));
      }
    }
    return header == null
        ? Either.left(new Failure(ResultCode.SETTINGS_SYNTAX, "trace " + name + " is empty"))
        : Either.right(new Trace(header, phases, controls, calls));
  }

  /**
   * Writes a trace.
   *
   * @throws IOException if the file can't be written
   */
  public static void write(Path file, Trace trace) throws IOException {
    try (BufferedWriter writer = Files.newBufferedWriter(file)) {
      writeLine(writer, trace.header());
      for (TracePhase phase : trace.phases()) {
        writeLine(writer, phase);
      }
      for (TraceControl control : trace.controls()) {
        writeLine(writer, control);
      }
      for (TraceCall call : trace.calls()) {
        writeLine(writer, call);
      }
    }
  }

  private static void writeLine(BufferedWriter writer, Object value) throws IOException {
    writer.write(MAPPER.writeValueAsString(value));
    writer.newLine();
  }
}
