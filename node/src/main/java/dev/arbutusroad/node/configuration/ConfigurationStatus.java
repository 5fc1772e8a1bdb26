package dev.arbutusroad.node.configuration;

/**
 * The state of the configuration agent, as reported in dumps and metrics.
 *
 * @param version the version in force, or 0 if there is none
 * @param hash the SHA-256 hash of the document in force, or empty if there is none
 * @param confirmationAgeMillis how long ago the store confirmed the version, or {@code
 *     Long.MAX_VALUE} if it never did
 * @param unconfirmed whether a newer version may be in force elsewhere
 * @param ready whether the node may serve calls
 * @param lastProblem why a newer document was rejected, otherwise why the latest poll or fetch
 *     failed; empty if neither applies
 */
public record ConfigurationStatus(
    long version,
    String hash,
    long confirmationAgeMillis,
    boolean unconfirmed,
    boolean ready,
    String lastProblem) {}
