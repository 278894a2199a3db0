package org.teaseltrestle.node.port;

import java.util.List;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.model.BackendServerId;

/** Reads and writes the header fields that describe routed requests and their responses. */
public interface RequestCodec {

  /**
   * Reads the header of a caller's request.
   *
   * @param header returns the first value of a header field, or null
   */
  IncomingRequest read(Function<String, @Nullable String> header);

  /** Returns the header fields of an attempt, derived from those that the caller sent. */
  List<HeaderField> attemptHeaders(List<HeaderField> received, AttemptOptions options);

  /** Returns the identifiers of requests that the header fields of a response carry. */
  List<String> requestIds(List<HeaderField> response);

  /**
   * Classifies a response by its identity, and then by its status and header.
   *
   * @param identity whether the response names the request
   * @param target backend server that the request was sent to
   * @param header returns the first value of a header field of the response, or null
   */
  ResponseVerdict classifyResponse(
      int status,
      ResponseIdentity identity,
      BackendServerId target,
      Function<String, @Nullable String> header);

  /** Returns the KV cache handle in the response to a remote prefill, or null if it has none. */
  @Nullable String kvCacheHandle(byte[] responseBody);

  /** Returns the request target that releases a KV cache handle which no engine has fetched. */
  String kvCacheReleaseTarget(String handle);

  /** Returns whether a response announces that its server is leaving. */
  boolean announcesLeaving(Function<String, @Nullable String> header);

  /** Returns the load that a response reports, or null if it reports none. */
  @Nullable ReportedLoad load(Function<String, @Nullable String> header);

  /** Returns what the header fields of a response say of its server's limit on requests. */
  StatedLimit limit(List<HeaderField> response);
}
