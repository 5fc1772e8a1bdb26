package dev.arbutusroad.core.config;

import dev.arbutusroad.core.result.Failure;
import io.vavr.control.Either;

/** Reads the documents that configurations are written in. */
@FunctionalInterface
public interface ConfigurationFormat {
  /**
   * Parses a document; one with any error is rejected as a whole.
   *
   * @param name the name of the document in errors
   * @param text the document
   * @param version the version that it has
   */
  Either<Failure, Configuration> parse(String name, String text, long version);
}
