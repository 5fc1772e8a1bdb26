package dev.arbutusroad.core.settings;

/** The deployments that a node can run in. */
public enum DeploymentKind {
  /** The protocols of arbutusroad itself towards callers, targets and operators. */
  ARBUTUS("arbutus"),
  /** The protocols of the users' platform. */
  PLATFORM("platform");

  private final String key;

  DeploymentKind(String key) {
    this.key = key;
  }

  /** Returns the value that settings files use. */
  public String key() {
    return key;
  }
}
