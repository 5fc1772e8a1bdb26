package dev.arbutusroad.node.claim;

import dev.arbutusroad.core.result.Failure;
import dev.arbutusroad.core.result.ResultCode;
import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Consumer;

/** Passes the results of store operations to the thread that owns the claims. */
final class StoreCalls {
  private StoreCalls() {}

  static <T> void deliver(
      CompletableFuture<Either<Failure, T>> result,
      Executor owner,
      Consumer<Either<Failure, T>> callback) {
    var unused =
        result
            // After an exception, as after a lost answer, the operation may have taken effect.
            .exceptionally(
                error ->
                    Either.left(new Failure(ResultCode.PLATFORM_TIMEOUT, String.valueOf(error))))
            .thenAcceptAsync(callback, owner);
  }
}
