package dev.arbutusroad.core.claim;

import dev.arbutusroad.core.result.Failure;
import dev.arbutusroad.core.result.ResultCode;
import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.DateTimeException;
import java.time.Duration;
import java.time.Instant;
import java.time.LocalDateTime;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.time.format.ResolverStyle;
import java.util.HexFormat;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * The idempotency key by which a caller identifies an order that runs at most once.
 *
 * <p>A key that begins with a UTC time, such as {@code 20260131T120000Z-4711}, expires. The claim
 * of a key without a time is kept for ever.
 */
public final class OrderKey {
  /** Keys whose time is further than this in the past or in the future are rejected. */
  public static final Duration ACCEPTANCE = Duration.ofDays(1);

  /**
   * How long the rows of keys with a time are kept. The difference to {@link #ACCEPTANCE} is the
   * clock skew up to which an order whose row was purged cannot run again.
   */
  public static final Duration RETENTION = Duration.ofDays(2);

  public static final int MAX_LENGTH = 200;

  /** Prefix of the keys of all claim rows. */
  public static final String ROW_PREFIX = "claim/";

  /** Prefix of the claim rows of order keys with a time; these sort by the hour of that time. */
  public static final String EXPIRING_ROW_PREFIX = ROW_PREFIX + "t";

  private static final String PERMANENT_ROW_PREFIX = ROW_PREFIX + "p";
  private static final int PERMANENT_BUCKET_DIGITS = 2;
  private static final Pattern TIME_PREFIX = Pattern.compile("\\d{8}T\\d{6}Z-.*");
  private static final int TIME_LENGTH = "20260131T120000Z".length();
  private static final DateTimeFormatter TIME_FORMAT = formatter("uuuuMMdd'T'HHmmss'Z'");
  private static final DateTimeFormatter HOUR_FORMAT = formatter("uuuuMMddHH");
  private static final Pattern EXPIRING_ROW_KEY =
      Pattern.compile(Pattern.quote(EXPIRING_ROW_PREFIX) + "(\\d{10})/.*");

  private final String text;
  private final Optional<Instant> time;

  private OrderKey(String text, Optional<Instant> time) {
    this.text = text;
    this.time = time;
  }

  /** Parses the value of the {@code arbutus-order-key} header; the failure is a bad request. */
  public static Either<Failure, OrderKey> parse(String text) {
    if (text.isEmpty() || text.length() > MAX_LENGTH) {
      return invalid("an order key must have 1 to " + MAX_LENGTH + " characters");
    }
    if (!text.chars().allMatch(c -> c > ' ' && c < 0x7f)) {
      return invalid("an order key must consist of visible ASCII characters");
    }
    if (!TIME_PREFIX.matcher(text).matches()) {
      return Either.right(new OrderKey(text, Optional.empty()));
    }
    try {
      LocalDateTime time = LocalDateTime.parse(text.substring(0, TIME_LENGTH), TIME_FORMAT);
      return Either.right(new OrderKey(text, Optional.of(time.toInstant(ZoneOffset.UTC))));
    } catch (DateTimeException e) {
      return invalid("the order key begins with a time that does not exist");
    }
  }

  /** Returns the time that the key begins with, if any. */
  public Optional<Instant> time() {
    return time;
  }

  /** Returns why the key is rejected at {@code now}; empty if it is accepted. */
  public Optional<Failure> rejection(Instant now) {
    if (time.isEmpty()) {
      return Optional.empty();
    }
    if (time.get().isBefore(now.minus(ACCEPTANCE))) {
      return Optional.of(Failure.of(ResultCode.ORDER_KEY_EXPIRED));
    }
    if (time.get().isAfter(now.plus(ACCEPTANCE))) {
      return Optional.of(
          new Failure(ResultCode.BAD_REQUEST, "the time of the order key is over 24 h ahead"));
    }
    return Optional.empty();
  }

  /** Returns the key of the table row that holds the claim of this order at a service. */
  public String rowKey(String service) {
    String hash = hash(service + '\n' + text);
    String bucket =
        time.map(value -> EXPIRING_ROW_PREFIX + HOUR_FORMAT.format(value))
            .orElse(PERMANENT_ROW_PREFIX + hash.substring(0, PERMANENT_BUCKET_DIGITS));
    return bucket + "/" + hash;
  }

  /**
   * Returns whether a row may be purged, because every order key of its hour is older than {@link
   * #RETENTION}.
   */
  public static boolean isPurgeable(String rowKey, Instant now) {
    var matcher = EXPIRING_ROW_KEY.matcher(rowKey);
    if (!matcher.matches()) {
      return false;
    }
    try {
      Instant hourEnd =
          LocalDateTime.parse(matcher.group(1) + "0000", formatter("uuuuMMddHHmmss"))
              .plusHours(1)
              .toInstant(ZoneOffset.UTC);
      return hourEnd.plus(RETENTION).isBefore(now);
    } catch (DateTimeException e) {
      return false;
    }
  }

  @Override
  public String toString() {
    return text;
  }

  private static DateTimeFormatter formatter(String pattern) {
    return DateTimeFormatter.ofPattern(pattern)
        .withResolverStyle(ResolverStyle.STRICT)
        .withZone(ZoneOffset.UTC);
  }

  private static Either<Failure, OrderKey> invalid(String detail) {
    return Either.left(new Failure(ResultCode.BAD_REQUEST, detail));
  }

  private static String hash(String input) {
    try {
      return HexFormat.of()
          .formatHex(
              MessageDigest.getInstance("SHA-256").digest(input.getBytes(StandardCharsets.UTF_8)));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("this Java runtime does not provide SHA-256", e);
    }
  }
}
