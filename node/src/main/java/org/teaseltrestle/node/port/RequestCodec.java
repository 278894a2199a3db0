package org.teaseltrestle.node.port;

import java.util.List;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.model.BackendServerId;

/**
 * Reads and writes the header fields by which requests of routes and their answers are described.
 */
public interface RequestCodec {

  /**
   * Reads a caller's request.
   *
   * @param header returns the first value of a header field, or null
   */
  IncomingRequest read(Function<String, @Nullable String> header);

  /** Returns the header fields of an attempt, made from those that the caller sent. */
  List<HeaderField> outgoing(List<HeaderField> received, OutgoingTerms terms);

  /**
   * Judges an answer by its header.
   *
   * @param callerId identifier that the caller gave
   * @param asked backend server that was asked
   * @param header returns the first value of a header field of the answer, or null
   */
  AnswerVerdict judge(
      int status,
      String callerId,
      BackendServerId asked,
      Function<String, @Nullable String> header);

  /** Returns the handle in an engine's answer to a reading of a prompt, or null if it has none. */
  @Nullable String promptMemory(byte[] answer);

  /** Returns the target by which a prompt's memory that nobody took is given back. */
  String releaseTarget(String memory);

  /** Returns the load that an answer reports, or null if it reports none. */
  @Nullable ReportedLoad load(Function<String, @Nullable String> header);
}
