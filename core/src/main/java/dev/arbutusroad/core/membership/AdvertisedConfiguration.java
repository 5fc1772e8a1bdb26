package dev.arbutusroad.core.membership;

/**
 * The configuration version that a member advertises in its messages.
 *
 * @param version the version in force, 0 for none
 * @param confirmationAgeMillis the time since the table service confirmed that this version is the
 *     newest, {@code Long.MAX_VALUE} if it never did
 */
public record AdvertisedConfiguration(long version, long confirmationAgeMillis) {
  /** Advertised by a member without a configuration. */
  public static final AdvertisedConfiguration NONE = new AdvertisedConfiguration(0, Long.MAX_VALUE);

  public AdvertisedConfiguration {
    if (version < 0 || confirmationAgeMillis < 0) {
      throw new IllegalArgumentException("version and age must not be negative");
    }
  }
}
