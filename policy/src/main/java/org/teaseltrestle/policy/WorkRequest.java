package org.teaseltrestle.policy;

import java.util.List;
import org.teaseltrestle.model.ClientAccount;
import org.teaseltrestle.model.ItemName;
import org.teaseltrestle.model.PoolId;
import org.teaseltrestle.model.RequestId;

/**
 * What the decisions know of a caller's request.
 *
 * @param request identifier of the request
 * @param account client account that is charged
 * @param item model or plain service
 * @param pool pool whose backend servers can run it
 * @param kind model completion or service call
 * @param repeatable whether the request may be run again after a failed attempt
 * @param promptTokens prompt length in tokens; 0 for a service call
 * @param expectedOutputTokens expected answer length in tokens; 0 for a service call
 * @param prefixHashes hash chain of the prompt's pieces, in hexadecimal; empty for a service call
 * @param firstTokenDeadlineNanos monotonic time by which the first token (or the answer) is due
 * @param sampleBits random bits that spread equal choices of several entry instances
 * @param terms what its route adds to the terms of its account's plan
 */
public record WorkRequest(
    RequestId request,
    ClientAccount account,
    ItemName item,
    PoolId pool,
    WorkKind kind,
    Repeatable repeatable,
    int promptTokens,
    int expectedOutputTokens,
    List<String> prefixHashes,
    long firstTokenDeadlineNanos,
    long sampleBits,
    WorkTerms terms) {

  /** Account of requests on routes that are open to all; their limits are a setting. */
  public static final ClientAccount OPEN_ROUTE_ACCOUNT = new ClientAccount("::open-routes");

  /** Copies the prefix hashes. */
  public WorkRequest {
    prefixHashes = List.copyOf(prefixHashes);
  }

  /** Creates a request without terms of its own. */
  public WorkRequest(
      RequestId request,
      ClientAccount account,
      ItemName item,
      PoolId pool,
      WorkKind kind,
      Repeatable repeatable,
      int promptTokens,
      int expectedOutputTokens,
      List<String> prefixHashes,
      long firstTokenDeadlineNanos,
      long sampleBits) {
    this(
        request,
        account,
        item,
        pool,
        kind,
        repeatable,
        promptTokens,
        expectedOutputTokens,
        prefixHashes,
        firstTokenDeadlineNanos,
        sampleBits,
        WorkTerms.NONE);
  }

  /** Returns the work in tokens: prompt and expected answer, and at least 1. */
  public int workTokens() {
    return Math.max(1, promptTokens + expectedOutputTokens);
  }

  /** Kind of work. */
  public enum WorkKind {
    MODEL_COMPLETION,
    SERVICE_CALL
  }

  /** Whether a second run is harmless. */
  public enum Repeatable {
    IDEMPOTENT,
    AT_MOST_ONCE
  }
}
