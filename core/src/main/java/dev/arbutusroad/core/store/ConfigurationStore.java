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

/** Reads and applies configuration versions. The futures never complete exceptionally. */
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
    return entry(CURRENT_KEY);
  }

  /** The configuration in force; empty before the first one is applied. */
  public CompletableFuture<Either<Failure, Optional<Configuration>>> readCurrent() {
    return then(
        readCurrentVersion(),
        entry ->
            entry.isEmpty()
                ? done(Either.right(Optional.empty()))
                : then(read(entry.get()), found -> done(Either.right(Optional.of(found)))));
  }

  /** A version of the history. */
  public CompletableFuture<Either<Failure, Configuration>> read(long version) {
    return then(
        entry(historyKey(version)),
        entry ->
            entry.isEmpty()
                ? failed(
                    ResultCode.CONFIGURATION_NOT_FOUND,
                    "version " + version + " has never been applied")
                : read(entry.get()));
  }

  @Override
  public CompletableFuture<Either<Failure, Configuration>> read(VersionEntry entry) {
    return then(objects.get(OBJECT_PREFIX + entry.hash()), bytes -> done(decode(entry, bytes)));
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
              ResultCode.PLATFORM_REFUSED, "the object " + name + " doesn't have its own hash"));
    }
    return ConfigurationParser.parse("version " + entry.version(), document, entry.version());
  }

  /** The newest versions, the newest first. */
  public CompletableFuture<Either<Failure, List<VersionEntry>>> history(int limit) {
    return then(
        readCurrentVersion(),
        current -> collect(current.map(VersionEntry::version).orElse(0L), limit, List.of()));
  }

  private CompletableFuture<Either<Failure, List<VersionEntry>>> collect(
      long version, int limit, List<VersionEntry> newer) {
    if (version < 1 || newer.size() >= limit) {
      return done(Either.right(newer));
    }
    return then(
        entry(historyKey(version)),
        found -> {
          List<VersionEntry> entries = new ArrayList<>(newer);
          found.ifPresent(entries::add);
          return collect(version - 1, limit, List.copyOf(entries));
        });
  }

  /**
   * Makes a checked document the next version. The document is stored first, so that no version
   * without a document is ever in force. The commit writes the history row first: that row is
   * written once, so it tells for good which author's version it is, even when a later version is
   * in force by the time a lost answer is looked into.
   *
   * @param checked the parsed document
   * @param baseVersion the version that the author has seen and edited; 0 for the first version
   * @param author who applies it
   * @param time the time for the history
   * @param token unique for this call
   * @return the new version; {@code CONFIGURATION_CONFLICT} if another version was applied
   *     meanwhile; {@code PLATFORM_TIMEOUT} if it is open whether the version was applied
   */
  public CompletableFuture<Either<Failure, VersionEntry>> apply(
      Configuration checked, long baseVersion, String author, String time, String token) {
    VersionEntry next = new VersionEntry(baseVersion + 1, checked.hash(), time, author, token);
    byte[] bytes = checked.document().getBytes(StandardCharsets.UTF_8);
    return then(
        table.get(CURRENT_KEY),
        row ->
            then(
                versionOf(row),
                version ->
                    version != baseVersion
                        ? conflict(baseVersion)
                        : then(
                            objects.put(OBJECT_PREFIX + next.hash(), bytes),
                            stored -> commit(next, row))));
  }

  private static CompletableFuture<Either<Failure, Long>> versionOf(Optional<Row> row) {
    return done(
        row.isEmpty()
            ? Either.right(0L)
            : VersionEntry.fromRow(row.get()).map(VersionEntry::version));
  }

  private CompletableFuture<Either<Failure, VersionEntry>> commit(
      VersionEntry next, Optional<Row> current) {
    String json = next.toJson();
    Write history = Write.insert(historyKey(next.version()), json);
    Write pointer =
        current
            .map(row -> Write.replace(CURRENT_KEY, json, row.version()))
            .orElseGet(() -> Write.insert(CURRENT_KEY, json));
    CompletableFuture<Either<Failure, CommitResult>> committed =
        commits.commit(List.of(history, pointer));
    return then(
        committed,
        result -> result.applied() ? done(Either.right(next)) : conflict(next.version() - 1));
  }

  private CompletableFuture<Either<Failure, VersionEntry>> conflict(long baseVersion) {
    return then(
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

  private CompletableFuture<Either<Failure, Optional<VersionEntry>>> entry(String key) {
    return then(
        table.get(key),
        row ->
            done(
                row.isEmpty()
                    ? Either.right(Optional.empty())
                    : VersionEntry.fromRow(row.get()).map(Optional::of)));
  }

  private static String historyKey(long version) {
    return HISTORY_PREFIX + version;
  }

  private static <T> CompletableFuture<Either<Failure, T>> failed(ResultCode code, String detail) {
    return done(Either.left(new Failure(code, detail)));
  }

  private static <T> CompletableFuture<T> done(T value) {
    return CompletableFuture.completedFuture(value);
  }

  private static <A, B> CompletableFuture<Either<Failure, B>> then(
      CompletableFuture<Either<Failure, A>> first,
      Function<A, CompletableFuture<Either<Failure, B>>> next) {
    return first.thenCompose(
        result -> result.isLeft() ? done(Either.left(result.getLeft())) : next.apply(result.get()));
  }
}
