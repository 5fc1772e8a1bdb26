package dev.arbutusroad.core.edge;

import dev.arbutusroad.core.result.Failure;
import io.vavr.control.Either;

/** The protocol by which targets of a deployment announce themselves to their node. */
public interface AnnouncementProtocol {
  /** Parses a request received on the announcement listener. */
  Either<Failure, Announcement> read(String method, String path, String body);

  /** Returns the body of the answer to an accepted announcement. */
  String acknowledgement();

  /** An announcement of a target. */
  sealed interface Announcement {
    /** The target reports its state. */
    record Reported(TargetReport report) implements Announcement {}

    /** The target with this id leaves and sends no further reports. */
    record Left(String instance) implements Announcement {}
  }
}
