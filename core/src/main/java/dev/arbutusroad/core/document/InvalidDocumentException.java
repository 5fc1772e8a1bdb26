package dev.arbutusroad.core.document;

import dev.arbutusroad.core.result.Failure;
import dev.arbutusroad.core.result.ResultCode;

/**
 * Thrown at the first error of a document. Public methods of parsers return its failure as an
 * {@code Either}.
 */
public final class InvalidDocumentException extends Exception {
  private static final long serialVersionUID = 1;

  private final transient Failure failure;

  /** Creates an error with the detail {@code file:line: key: problem}. */
  public InvalidDocumentException(
      ResultCode code, String file, int line, String key, String problem) {
    this(new Failure(code, file + ":" + line + ": " + (key.isEmpty() ? "" : key + ": ") + problem));
  }

  private InvalidDocumentException(Failure failure) {
    super(failure.detail());
    this.failure = failure;
  }

  /** Returns the error with its result code. */
  public Failure failure() {
    return failure;
  }
}
