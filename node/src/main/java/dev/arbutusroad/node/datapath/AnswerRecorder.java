package dev.arbutusroad.node.datapath;

import dev.arbutusroad.core.claim.RecordedAnswer;
import dev.arbutusroad.http.Answer;
import dev.arbutusroad.http.BodyEnd;
import dev.arbutusroad.node.claim.ClaimHandle;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.HttpHeaderNames;
import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.Optional;

/** Copies the answer to a claimed order as it is forwarded, up to the size a claim can hold. */
final class AnswerRecorder {
  private final ClaimHandle handle;
  private final int status;
  private final List<RecordedAnswer.Header> headers;
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private boolean tooLarge;

  private AnswerRecorder(Answer answer, ClaimHandle handle) {
    this.handle = handle;
    this.status = answer.status();
    this.headers =
        answer.headers().entries().stream()
            .filter(header -> isRecorded(header.getKey()))
            .map(header -> new RecordedAnswer.Header(header.getKey(), header.getValue()))
            .toList();
  }

  /** Records an answer and reports the outcome of the order when the answer has ended. */
  static void record(Answer answer, ClaimHandle handle) {
    AnswerRecorder recorder = new AnswerRecorder(answer, handle);
    answer.body().observe(recorder::add);
    answer.body().whenEnded(recorder::ended);
  }

  private void add(ByteBuf part) {
    tooLarge |= body.size() + part.readableBytes() > RecordedAnswer.MAX_BODY_BYTES;
    if (!tooLarge) {
      body.writeBytes(ByteBufUtil.getBytes(part));
    }
  }

  /** Reports an unknown outcome if the answer broke off or the caller disconnected. */
  private void ended(BodyEnd end) {
    if (end instanceof BodyEnd.Completed) {
      Optional<RecordedAnswer> answer =
          tooLarge ? Optional.empty() : RecordedAnswer.of(status, headers, body.toByteArray());
      answer.ifPresentOrElse(handle::done, handle::doneWithoutAnswer);
    } else {
      handle.outcomeUnknown();
    }
  }

  /**
   * Excludes the content length, which is set from the recorded body, and the arbutus headers,
   * which belong to one call only.
   */
  private static boolean isRecorded(String name) {
    return !name.equalsIgnoreCase(HttpHeaderNames.CONTENT_LENGTH.toString())
        && !name.regionMatches(true, 0, ArbutusHeaders.PREFIX, 0, ArbutusHeaders.PREFIX.length());
  }
}
