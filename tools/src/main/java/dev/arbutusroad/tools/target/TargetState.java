package dev.arbutusroad.tools.target;

import dev.arbutusroad.core.time.Ticker;

/** State that the call endpoint, the control endpoint and the announcer of a target share. */
final class TargetState {
  static final String HEALTH_PATH = "/health";
  static final String LOAD_PATH = "/load";

  private final String service;
  private final Runnable crash;
  private final Slots slots;
  private final ServiceTimes times;
  private final RunLog runs = new RunLog();
  private final LoadReadings readings;
  private volatile TargetBehaviour behaviour;

  TargetState(TargetOptions options, Ticker ticker) {
    this.service = options.service();
    this.crash = options.crash();
    this.behaviour = options.behaviour();
    this.slots = new Slots(behaviour.slots(), behaviour.queueLimit());
    this.times = new ServiceTimes(ticker, options.seed());
    this.readings = new LoadReadings(ticker);
  }

  String service() {
    return service;
  }

  TargetBehaviour behaviour() {
    return behaviour;
  }

  void change(TargetBehaviour newBehaviour) {
    behaviour = newBehaviour;
    slots.resize(newBehaviour.slots(), newBehaviour.queueLimit());
  }

  Slots slots() {
    return slots;
  }

  ServiceTimes times() {
    return times;
  }

  RunLog runs() {
    return runs;
  }

  void crash() {
    crash.run();
  }

  /** Records the current load for the load endpoint. */
  void sample() {
    readings.add(slots.running(), slots.queued());
  }

  /** Returns the answer of the load endpoint, with the configured lag and factor. */
  String loadJson() {
    TargetBehaviour current = behaviour;
    LoadReadings.Reading reading = readings.olderThan(current.loadLagMillis());
    return "{\"running\":%d,\"queued\":%d,\"slots\":%d}"
        .formatted(
            Math.round(reading.running() * current.loadFactor()),
            Math.round(reading.queued() * current.loadFactor()),
            current.slots());
  }
}
