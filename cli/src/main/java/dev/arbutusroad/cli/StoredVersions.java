package dev.arbutusroad.cli;

import dev.arbutusroad.core.config.Configuration;
import dev.arbutusroad.core.result.Failure;
import dev.arbutusroad.core.result.ResultCode;
import dev.arbutusroad.core.store.ConfigurationStore;
import io.vavr.control.Either;
import java.util.regex.Pattern;

/** Finds versions that operators name on the command line. */
final class StoredVersions {
  /** The number that stands for the version in force. */
  static final long CURRENT = 0;

  private static final String CURRENT_WORD = "current";
  private static final Pattern NUMBER = Pattern.compile("\\d{1,18}");

  private StoredVersions() {}

  /** Whether a word names a version and not a file. */
  static boolean isVersion(String word) {
    return word.equals(CURRENT_WORD) || NUMBER.matcher(word).matches();
  }

  /** The number of the version that a word names. */
  static long number(String word) {
    return word.equals(CURRENT_WORD) ? CURRENT : Long.parseLong(word);
  }

  /** The configuration of a version, or the one in force. */
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
