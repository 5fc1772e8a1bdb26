package dev.arbutusroad.core.store;

import dev.arbutusroad.core.config.Configuration;
import dev.arbutusroad.core.config.ConfigurationFormat;
import dev.arbutusroad.core.result.Failure;
import io.vavr.control.Either;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Where a node reads the configuration in force. The futures never complete exceptionally. */
public interface VersionSource {
  /** The version in force; empty before the first one is applied. */
  CompletableFuture<Either<Failure, Optional<VersionEntry>>> readCurrentVersion();

  /** The configuration that an entry stands for. */
  CompletableFuture<Either<Failure, Configuration>> read(VersionEntry entry);

  /** The format of the documents, which nodes also pass to each other. */
  ConfigurationFormat format();
}
