package dev.arbutusroad.core.store;

import dev.arbutusroad.core.result.Failure;
import io.vavr.control.Either;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** The platform's object store. The futures never complete exceptionally. */
public interface ObjectStore {
  /** Stores an object under a name and replaces an existing one. */
  CompletableFuture<Either<Failure, Boolean>> put(String name, byte[] content);

  /** Reads an object; empty if it does not exist. */
  CompletableFuture<Either<Failure, Optional<byte[]>>> get(String name);
}
