package dev.arbutusroad.core.config;

import dev.arbutusroad.core.result.Failure;
import io.vavr.control.Either;

/** Parses configuration documents of one format. */
@FunctionalInterface
public interface ConfigurationFormat {
  /**
   * Parses a document. A document with any error is rejected as a whole.
   *
   * @param name the name of the document in error messages
   * @param text the text of the document
   * @param version the configuration version of the document
   */
  Either<Failure, Configuration> parse(String name, String text, long version);
}
