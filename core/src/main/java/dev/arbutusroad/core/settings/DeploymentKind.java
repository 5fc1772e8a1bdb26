package dev.arbutusroad.core.settings;

/** The deployments that a node can run in. */
public enum DeploymentKind {
  /** The product's own interface towards callers, targets and operators. */
  ARBUTUS("arbutus"),
  /** The users' platform. */
  PLATFORM("platform");

  private final String key;

  DeploymentKind(String key) {
    this.key = key;
  }

  /** The value in settings files. */
  public String key() {
    return key;
  }
}
