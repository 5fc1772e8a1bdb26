package dev.arbutusroad.cli;

import dev.arbutusroad.core.result.Failure;
import dev.arbutusroad.core.result.ResultCode;
import dev.arbutusroad.core.settings.NodeSettings;
import dev.arbutusroad.core.settings.NodeSettingsParser;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Reads the settings of a node from a file. */
final class SettingsFile {
  private static final long MAX_BYTES = 1024 * 1024;

  private SettingsFile() {}

  static Either<Failure, NodeSettings> read(Path file) {
    try {
      if (Files.size(file) > MAX_BYTES) {
        return unreadable(file, "larger than 1 MiB");
      }
      return NodeSettingsParser.parse(file.toString(), Files.readString(file));
    } catch (IOException e) {
      return unreadable(file, e.toString());
    }
  }

  private static Either<Failure, NodeSettings> unreadable(Path file, String reason) {
    return Either.left(
        new Failure(ResultCode.SETTINGS_UNREADABLE, "can't read " + file + ": " + reason));
  }
}
