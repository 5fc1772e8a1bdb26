package dev.arbutusroad.cli;

import dev.arbutusroad.core.config.Configuration;
import dev.arbutusroad.core.result.Failure;
import dev.arbutusroad.core.result.ResultCode;
import dev.arbutusroad.core.store.ConfigurationStore;
import io.vavr.control.Either;
import java.util.regex.Pattern;

/** Reads the configuration versions that operators name on the command line. */
final class StoredVersions {
  /** Placeholder for the number of the version in force. */
  static final long CURRENT = 0;

  private static final String CURRENT_NAME = "current";
  private static final Pattern NUMBER = Pattern.compile("\\d{1,18}");

  private StoredVersions() {}

  /** Returns whether an argument names a version rather than a file. */
  static boolean isVersion(String argument) {
    return argument.equals(CURRENT_NAME) || NUMBER.matcher(argument).matches();
  }

  /** Returns the number of the version that an argument names. */
  static long number(String argument) {
    return argument.equals(CURRENT_NAME) ? CURRENT : Long.parseLong(argument);
  }

  /** Reads the configuration of a version, or the one in force for {@link #CURRENT}. */
  static Either<Failure, Configuration> find(ConfigurationStore store, long version) {
    if (version != CURRENT) {
      return store.read(version).join();
    }
    return store
        .readCurrent()
        .join()
        .flatMap(
            current ->
                current
                    .<Either<Failure, Configuration>>map(Either::right)
                    .orElseGet(
                        () ->
                            Either.left(
                                new Failure(
                                    ResultCode.CONFIGURATION_NOT_FOUND,
                                    "no version has been applied yet"))));
  }
}
