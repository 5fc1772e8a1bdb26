package dev.arbutusroad.core.edge;

import dev.arbutusroad.core.result.Failure;
import io.vavr.control.Either;

/** How targets of a deployment announce themselves to their node. */
public interface AnnouncementProtocol {
  /** Reads a request on the announcement listener. */
  Either<Failure, Announcement> read(String method, String path, String body);

  /** The body of the answer to an accepted announcement. */
  String acknowledgement();

  /** What a target says. */
  sealed interface Announcement {
    /** A report of its state. */
    record Reported(TargetReport report) implements Announcement {}

    /** The target of this id leaves and reports no more. */
    record Left(String instance) implements Announcement {}
  }
}
