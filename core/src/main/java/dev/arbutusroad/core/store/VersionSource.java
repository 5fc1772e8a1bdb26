package dev.arbutusroad.core.store;

import dev.arbutusroad.core.config.Configuration;
import dev.arbutusroad.core.config.ConfigurationFormat;
import dev.arbutusroad.core.result.Failure;
import io.vavr.control.Either;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Source of the configuration in force. The futures never complete exceptionally. */
public interface VersionSource {
  /** Reads the version in force; empty before the first one is applied. */
  CompletableFuture<Either<Failure, Optional<VersionEntry>>> readCurrentVersion();

  /** Reads the configuration of a version entry. */
  CompletableFuture<Either<Failure, Configuration>> read(VersionEntry entry);

  /** Returns the format of the documents, which nodes also send to each other. */
  ConfigurationFormat format();
}
