package org.teaseltrestle.policy;

import java.util.List;
import java.util.Set;
import org.teaseltrestle.model.BackendServerId;
import org.teaseltrestle.model.ClientAccount;
import org.teaseltrestle.model.FailureDomain;
import org.teaseltrestle.model.ItemName;
import org.teaseltrestle.model.PoolId;
import org.teaseltrestle.model.RequestId;
import org.teaseltrestle.policy.WorkRequest.Repeatability;
import org.teaseltrestle.policy.WorkRequest.WorkKind;

/** Sample values shared by tests. */
public final class Samples {

  public static final ItemName MODEL = new ItemName("pren-7b");
  public static final PoolId POOL = new PoolId("pren-models");
  public static final long MILLISECOND = 1_000_000L;
  public static final long SECOND = 1_000_000_000L;

  private Samples() {}

  /** Returns a live regular engine. */
  public static BackendServer engine(String id, String domain) {
    return engine(id, domain, BackendServer.Capacity.REGULAR, BackendServer.State.LIVE);
  }

  /** Returns an engine. */
  public static BackendServer engine(
      String id, String domain, BackendServer.Capacity capacity, BackendServer.State state) {
    return new BackendServer(
        new BackendServerId(id),
        POOL,
        new FailureDomain(domain),
        "http://127.0.0.1:1",
        Set.of(MODEL),
        capacity,
        state);
  }

  /** Returns limits so high that no test reaches them unintentionally. */
  public static PlanLimits highLimits(String account, int weight, int priority) {
    return new PlanLimits(
        new ClientAccount(account),
        weight,
        priority,
        1e9,
        1e9,
        1e6,
        1_000_000,
        PlanLimits.CheapCapacity.ALLOWED);
  }

  /** Returns an idempotent model completion with the given first token deadline. */
  public static WorkRequest completion(
      String id, String account, int prompt, int output, long deadlineNanos) {
    return request(id, account, prompt, output, deadlineNanos, Repeatability.IDEMPOTENT, 7);
  }

  /** Returns a model completion. */
  public static WorkRequest request(
      String id,
      String account,
      int prompt,
      int output,
      long deadlineNanos,
      Repeatability repeatability,
      long sampleBits) {
    return new WorkRequest(
        new RequestId(id),
        new ClientAccount(account),
        MODEL,
        POOL,
        WorkKind.MODEL_COMPLETION,
        repeatability,
        prompt,
        output,
        List.of(),
        0,
        deadlineNanos,
        sampleBits);
  }

  /** Returns a load report of a mixed engine with 1,000 KV cache blocks of 16 tokens. */
  public static LoadReport loadReport(
      String server, long measuredAtNanos, int running, int queuedPromptTokens, int freeBlocks) {
    return new LoadReport(
        new BackendServerId(server),
        measuredAtNanos,
        running,
        0,
        queuedPromptTokens,
        1_000,
        freeBlocks,
        16,
        EngineRole.MIXED);
  }
}
