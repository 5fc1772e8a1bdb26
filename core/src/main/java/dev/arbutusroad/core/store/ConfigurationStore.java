package dev.arbutusroad.core.store;

import dev.arbutusroad.core.config.Configuration;
import dev.arbutusroad.core.config.ConfigurationFormat;
import dev.arbutusroad.core.config.ConfigurationParser;
import dev.arbutusroad.core.result.Failure;
import dev.arbutusroad.core.result.ResultCode;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.random.RandomGenerator;

/**
 * Reads and applies configuration versions in the platform's store. The futures never complete
 * exceptionally.
 */
public final class ConfigurationStore implements VersionSource {
  static final String CURRENT_KEY = "config/current";
  private static final String HISTORY_PREFIX = "config/v/";
  private static final String OBJECT_PREFIX = "config/";

  private final TableService table;
  private final ObjectStore objects;
  private final IdempotentCommit commits;

  public ConfigurationStore(TableService table, ObjectStore objects, RandomGenerator random) {
    this.table = table;
    this.objects = objects;
    this.commits = new IdempotentCommit(table, random);
  }

  @Override
  public CompletableFuture<Either<Failure, Optional<VersionEntry>>> readCurrentVersion() {
    return readEntry(CURRENT_KEY);
  }

  /** Reads the configuration in force; empty before the first one is applied. */
  public CompletableFuture<Either<Failure, Optional<Configuration>>> readCurrent() {
    return thenOnSuccess(
        readCurrentVersion(),
        entry ->
            entry.isEmpty()
                ? completed(Either.right(Optional.empty()))
                : thenOnSuccess(
                    read(entry.get()), value -> completed(Either.right(Optional.of(value)))));
  }

  /** Reads a version from the history. */
  public CompletableFuture<Either<Failure, Configuration>> read(long version) {
    return thenOnSuccess(
        readEntry(historyKey(version)),
        entry ->
            entry.isEmpty()
                ? failed(
                    ResultCode.CONFIGURATION_NOT_FOUND,
                    "version " + version + " has never been applied")
                : read(entry.get()));
  }

  @Override
  public CompletableFuture<Either<Failure, Configuration>> read(VersionEntry entry) {
    return thenOnSuccess(
        objects.get(OBJECT_PREFIX + entry.hash()), bytes -> completed(decode(entry, bytes)));
  }

  @Override
  public ConfigurationFormat format() {
    return ConfigurationParser::parse;
  }

  private static Either<Failure, Configuration> decode(VersionEntry entry, Optional<byte[]> bytes) {
    String name = OBJECT_PREFIX + entry.hash();
    if (bytes.isEmpty()) {
      return Either.left(
          new Failure(
              ResultCode.CONFIGURATION_NOT_FOUND,
              "the object " + name + " of version " + entry.version() + " is missing"));
    }
    String document = new String(bytes.get(), StandardCharsets.UTF_8);
    if (!Configuration.hashOf(document).equals(entry.hash())) {
      return Either.left(
          new Failure(
              ResultCode.PLATFORM_REFUSED, "the object " + name + " does not match its hash"));
    }
    return ConfigurationParser.parse("version " + entry.version(), document, entry.version());
  }

  /** Reads the entries of at most {@code limit} versions, the newest first. */
  public CompletableFuture<Either<Failure, List<VersionEntry>>> history(int limit) {
    return thenOnSuccess(
        readCurrentVersion(),
        current -> readHistory(current.map(VersionEntry::version).orElse(0L), limit, List.of()));
  }

  private CompletableFuture<Either<Failure, List<VersionEntry>>> readHistory(
      long version, int limit, List<VersionEntry> newer) {
    if (version < 1 || newer.size() >= limit) {
      return completed(Either.right(newer));
    }
    return thenOnSuccess(
        readEntry(historyKey(version)),
        value -> {
          List<VersionEntry> entries = new ArrayList<>(newer);
          value.ifPresent(entries::add);
          return readHistory(version - 1, limit, List.copyOf(entries));
        });
  }

  /**
   * Applies a checked document as the next version.
   *
   * <p>The document is stored first, so that no version without a document is ever in force. The
   * history row is the first write of the commit. It is written only once, so it identifies the
   * author of the version even if a later version is in force when a lost answer is resolved.
   *
   * @param checked the parsed document
   * @param baseVersion the version that the author edited; 0 for the first version
   * @param author the operator who applies it
   * @param time the time to record in the history
   * @param token a unique token of this call
   * @return the new version; {@code CONFIGURATION_CONFLICT} if another version was applied in the
   *     meantime; {@code PLATFORM_TIMEOUT} if it is unknown whether the version was applied
   */
  public CompletableFuture<Either<Failure, VersionEntry>> apply(
      Configuration checked, long baseVersion, String author, String time, String token) {
    VersionEntry next = new VersionEntry(baseVersion + 1, checked.hash(), time, author, token);
    byte[] bytes = checked.document().getBytes(StandardCharsets.UTF_8);
    return thenOnSuccess(
        table.get(CURRENT_KEY),
        row ->
            thenOnSuccess(
                currentVersion(row),
                version ->
                    version != baseVersion
                        ? conflictFailure(baseVersion)
                        : thenOnSuccess(
                            objects.put(OBJECT_PREFIX + next.hash(), bytes),
                            stored -> commit(next, row))));
  }

  private static CompletableFuture<Either<Failure, Long>> currentVersion(Optional<Row> row) {
    return completed(
        row.isEmpty()
            ? Either.right(0L)
            : VersionEntry.fromRow(row.get()).map(VersionEntry::version));
  }

  private CompletableFuture<Either<Failure, VersionEntry>> commit(
      VersionEntry next, Optional<Row> current) {
    String json = next.toJson();
    Write history = Write.insert(historyKey(next.version()), json);
    Write currentRow =
        current
            .map(row -> Write.replace(CURRENT_KEY, json, row.version()))
            .orElseGet(() -> Write.insert(CURRENT_KEY, json));
    CompletableFuture<Either<Failure, CommitResult>> committed =
        commits.commit(List.of(history, currentRow));
    return thenOnSuccess(
        committed,
        result ->
            result.applied() ? completed(Either.right(next)) : conflictFailure(next.version() - 1));
  }

  private CompletableFuture<Either<Failure, VersionEntry>> conflictFailure(long baseVersion) {
    return thenOnSuccess(
        readCurrentVersion(),
        current ->
            failed(
                ResultCode.CONFIGURATION_CONFLICT,
                "the edit is based on version "
                    + baseVersion
                    + ", but in force is "
                    + current
                        .map(e -> "version " + e.version() + " by " + e.author())
                        .orElse("no version")));
  }

  private CompletableFuture<Either<Failure, Optional<VersionEntry>>> readEntry(String key) {
    return thenOnSuccess(
        table.get(key),
        row ->
            completed(
                row.isEmpty()
                    ? Either.right(Optional.empty())
                    : VersionEntry.fromRow(row.get()).map(Optional::of)));
  }

  private static String historyKey(long version) {
    return HISTORY_PREFIX + version;
  }

  private static <T> CompletableFuture<Either<Failure, T>> failed(ResultCode code, String detail) {
    return completed(Either.left(new Failure(code, detail)));
  }

  private static <T> CompletableFuture<T> completed(T value) {
    return CompletableFuture.completedFuture(value);
  }

  private static <A, B> CompletableFuture<Either<Failure, B>> thenOnSuccess(
      CompletableFuture<Either<Failure, A>> first,
      Function<A, CompletableFuture<Either<Failure, B>>> next) {
    return first.thenCompose(
        result ->
            result.isLeft() ? completed(Either.left(result.getLeft())) : next.apply(result.get()));
  }
}
