package dev.arbutusroad.cli;

import dev.arbutusroad.core.config.Configuration;
import dev.arbutusroad.core.config.ConfigurationParser;
import dev.arbutusroad.core.document.DocumentReader;
import dev.arbutusroad.core.result.Failure;
import io.vavr.control.Either;
import java.nio.file.Path;

/** Reads configuration documents from files. */
final class ConfigurationFiles {
  private ConfigurationFiles() {}

  static Either<Failure, Configuration> read(String file) {
    return DocumentReader.load(Path.of(file))
        .flatMap(text -> ConfigurationParser.parse(file, text, Configuration.NOT_APPLIED));
  }
}
