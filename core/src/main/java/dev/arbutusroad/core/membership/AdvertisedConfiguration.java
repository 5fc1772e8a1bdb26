package dev.arbutusroad.core.membership;

/**
 * What a member says about its configuration.
 *
 * @param version the version in force, 0 for none
 * @param confirmationAgeMillis the time since the table service confirmed that it is the newest
 */
public record AdvertisedConfiguration(long version, long confirmationAgeMillis) {
  /** The mark of a member without a configuration. */
  public static final AdvertisedConfiguration NONE = new AdvertisedConfiguration(0, Long.MAX_VALUE);

  public AdvertisedConfiguration {
    if (version < 0 || confirmationAgeMillis < 0) {
      throw new IllegalArgumentException("version and age must not be negative");
    }
  }
}
