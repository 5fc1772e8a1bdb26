package dev.arbutusroad.node.membership;

import java.util.Optional;

/**
 * Provides the configuration of this node for its peers. Called on several threads; must not block.
 */
public interface ConfigurationSource {
  /** The source of a node without a configuration. */
  ConfigurationSource NONE =
      new ConfigurationSource() {
        @Override
        public long version() {
          return 0;
        }

        @Override
        public Optional<String> document() {
          return Optional.empty();
        }

        @Override
        public long confirmationAgeMillis() {
          return Long.MAX_VALUE;
        }
      };

  /** Returns the version in force, or 0 if there is none. */
  long version();

  /** Returns the document in force, or empty if there is none. */
  Optional<String> document();

  /**
   * Returns the time since the table service confirmed that the version is the newest, or {@code
   * Long.MAX_VALUE} if it never did.
   */
  long confirmationAgeMillis();
}
