package org.teaseltrestle.policy;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.teaseltrestle.model.ClientAccount;
import org.teaseltrestle.model.ItemName;
import org.teaseltrestle.model.PoolId;
import org.teaseltrestle.model.RequestId;

/**
 * The properties of a caller's request on which decisions are based.
 *
 * @param request identifier of the request
 * @param account client account that is charged
 * @param item model or plain service
 * @param pool pool whose backend servers can run it
 * @param kind model completion or service call
 * @param repeatability whether the request may be run again after a failed attempt
 * @param promptTokens prompt length in tokens; 0 for a service call
 * @param expectedOutputTokens expected response length in tokens; 0 for a service call
 * @param sharedParts hashes of the prompt's parts that other requests may share, in order, without
 *     their sign; empty for a service call
 * @param prefixHashes hash chain of the prompt's blocks, in hexadecimal; empty for a service call
 * @param fingerprint hash of all that makes this request what it is, the same at every instance
 *     that it comes at again; negative, or 0 if unknown
 * @param firstTokenDeadlineNanos monotonic time by which the first token, or the response of a
 *     service call, is due
 * @param sampleBits random bits that make entry instances with the same view choose different
 *     servers
 * @param options settings of the route that supplement those of the account's plan
 */
public record WorkRequest(
    RequestId request,
    ClientAccount account,
    ItemName item,
    PoolId pool,
    WorkKind kind,
    Repeatability repeatability,
    int promptTokens,
    int expectedOutputTokens,
    List<Long> sharedParts,
    List<String> prefixHashes,
    long fingerprint,
    long firstTokenDeadlineNanos,
    long sampleBits,
    RequestOptions options) {

  /** Account of requests on routes without authentication, whose limits are a setting. */
  public static final ClientAccount OPEN_ROUTE_ACCOUNT = new ClientAccount("::open-routes");

  /**
   * Copies the hashes. Callers name the parts as they like, so their hashes are made positive: none
   * may be taken for the fingerprint of another caller's request.
   */
  public WorkRequest {
    sharedParts = sharedParts.stream().map(part -> part & Long.MAX_VALUE).toList();
    prefixHashes = List.copyOf(prefixHashes);
  }

  /** Creates a request without options whose shared parts are the blocks of its hash chain. */
  public WorkRequest(
      RequestId request,
      ClientAccount account,
      ItemName item,
      PoolId pool,
      WorkKind kind,
      Repeatability repeatability,
      int promptTokens,
      int expectedOutputTokens,
      List<String> prefixHashes,
      long fingerprint,
      long firstTokenDeadlineNanos,
      long sampleBits) {
    this(
        request,
        account,
        item,
        pool,
        kind,
        repeatability,
        promptTokens,
        expectedOutputTokens,
        parsedHashes(prefixHashes),
        prefixHashes,
        fingerprint,
        firstTokenDeadlineNanos,
        sampleBits,
        RequestOptions.NONE);
  }

  /** Returns the work in tokens: prompt plus expected response, at least 1. */
  public int workTokens() {
    return Math.max(1, promptTokens + expectedOutputTokens);
  }

  /**
   * Returns what may have caused the loss of a server that ran this request: the shared parts of
   * its prompt, then the request itself.
   */
  List<Long> lossCandidates() {
    if (fingerprint == 0) {
      return sharedParts;
    }
    List<Long> candidates = new ArrayList<>(sharedParts);
    candidates.add(fingerprint);
    return candidates;
  }

  private static List<Long> parsedHashes(List<String> prefixHashes) {
    return Arrays.stream(PrefixIndex.parseHashes(prefixHashes)).boxed().toList();
  }

  /** Kind of work. */
  public enum WorkKind {
    MODEL_COMPLETION,
    SERVICE_CALL
  }

  /** Whether a second run is harmless. */
  public enum Repeatability {
    IDEMPOTENT,
    AT_MOST_ONCE
  }
}
