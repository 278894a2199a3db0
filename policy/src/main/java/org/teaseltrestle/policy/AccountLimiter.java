package org.teaseltrestle.policy;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.model.ClientAccount;
import org.teaseltrestle.model.RefusalCode;

/**
 * Limits of the client accounts at this instance: token buckets in work and in requests, and the
 * number of open requests, each scaled by the instance's share.
 *
 * <p>A request larger than the scaled burst is admitted when the bucket is full and leaves it in
 * debt: the average rate holds, and a small share does not lock large requests out.
 */
final class AccountLimiter {

  private static final double NANOS_PER_SECOND = 1e9;

  private final Map<ClientAccount, AccountState> states = new HashMap<>();
  private Map<ClientAccount, Double> shares = Map.of();
  private Map<ClientAccount, Double> totalDemand = Map.of();
  private long sharesExpireAtNanos = Long.MIN_VALUE;
  private double defaultShare = 1;

  /**
   * Why a request is not admitted.
   *
   * @param retryAfter when the bucket holds enough, null if it cannot be known
   */
  record Denial(RefusalCode code, @Nullable Duration retryAfter) {}

  /** Admits a request and charges it, or returns why not. */
  @Nullable Denial admit(PlanLimits limits, int workTokens, long nowNanos) {
    AccountState state = states.computeIfAbsent(limits.account(), key -> new AccountState());
    double share = settle(state, limits, nowNanos);
    if (state.open >= maximumOpen(limits, share)) {
      return new Denial(RefusalCode.CONCURRENCY_LIMITED, null);
    }
    double requestBurst = Math.max(1, limits.requestsPerSecond() * share);
    double needTokens = Math.min(workTokens, limits.burstTokens() * share);
    double tokenSeconds = lack(needTokens, state.tokens, limits.tokensPerSecond() * share);
    double requestSeconds =
        lack(Math.min(1, requestBurst), state.requests, limits.requestsPerSecond() * share);
    double seconds = Math.max(tokenSeconds, requestSeconds);
    if (seconds > 0) {
      return new Denial(RefusalCode.RATE_LIMITED, retryAfter(seconds));
    }
    state.tokens -= workTokens;
    state.requests -= 1;
    state.open++;
    return null;
  }

  /**
   * Ends an admitted request.
   *
   * @param unusedTokens charged work that was not used; negative if more was used
   */
  void end(ClientAccount account, long unusedTokens) {
    AccountState state = states.get(account);
    if (state != null) {
      state.open--;
      state.tokens += unusedTokens;
    }
  }

  /** Ends an admitted request that did not run, and returns its whole charge. */
  void endNotRun(ClientAccount account, int workTokens) {
    end(account, workTokens);
    AccountState state = states.get(account);
    if (state != null) {
      state.requests += 1;
    }
  }

  /** Applies new shares; what was earned until now is counted at the old ones. */
  void grant(
      AdmissionEvent.SharesGranted event, Map<ClientAccount, PlanLimits> limits, long nowNanos) {
    settleAll(limits, nowNanos);
    shares = event.shares();
    totalDemand = event.totalDemand();
    sharesExpireAtNanos = event.expiresAtNanos();
    defaultShare = event.defaultShare();
  }

  /** Counts what was earned until now, before the limits change. */
  void settleAll(Map<ClientAccount, PlanLimits> limits, long nowNanos) {
    for (Map.Entry<ClientAccount, AccountState> entry : states.entrySet()) {
      PlanLimits old = limits.get(entry.getKey());
      if (old != null) {
        settle(entry.getValue(), old, nowNanos);
      }
    }
  }

  /** Forgets accounts that have neither limits nor open requests. */
  void retain(Map<ClientAccount, PlanLimits> limits) {
    states
        .entrySet()
        .removeIf(entry -> entry.getValue().open == 0 && !limits.containsKey(entry.getKey()));
  }

  /** Returns the number of open requests of an account. */
  int open(ClientAccount account) {
    AccountState state = states.get(account);
    return state == null ? 0 : state.open;
  }

  private double settle(AccountState state, PlanLimits limits, long nowNanos) {
    double granted = grantedShare(limits);
    boolean expired = nowNanos >= sharesExpireAtNanos;
    if (state.settled) {
      long until = Math.max(state.settledAtNanos, Math.min(nowNanos, sharesExpireAtNanos));
      state.earn(limits, granted, until - state.settledAtNanos);
      state.earn(limits, defaultShare, nowNanos - until);
    } else {
      state.settled = true;
      state.earn(limits, expired ? defaultShare : granted, Long.MAX_VALUE);
    }
    state.settledAtNanos = nowNanos;
    return expired ? defaultShare : granted;
  }

  /**
   * Returns the share while the grant is valid. An account that uses its whole limit is divided by
   * demand, which adds up to 1. The unused part of a limit is open to every instance up to {@code
   * 1/sqrt(N)}: dividing it by past demand refused single requests that came to an instance without
   * demand. All N instances together can then admit at most {@code sqrt(N)} times the unused part
   * until the next grants, which follow the demand within seconds.
   */
  private double grantedShare(PlanLimits limits) {
    double total = totalDemand.getOrDefault(limits.account(), 0.0);
    double used = Math.min(1, total / Math.max(1, limits.tokensPerSecond()));
    double byDemand = shares.getOrDefault(limits.account(), 0.0);
    return used * byDemand + (1 - used) * Math.sqrt(defaultShare);
  }

  /** Returns the open requests allowed; at least one, or a small share would stop an account. */
  private static int maximumOpen(PlanLimits limits, double share) {
    return (int) Math.max(1, Math.floor(limits.maximumRunning() * share));
  }

  private static double lack(double need, double held, double rate) {
    if (held >= need) {
      return 0;
    }
    return rate > 0 ? (need - held) / rate : Double.POSITIVE_INFINITY;
  }

  private static @Nullable Duration retryAfter(double seconds) {
    return Double.isInfinite(seconds) ? null : Duration.ofMillis((long) Math.ceil(seconds * 1_000));
  }

  /** Buckets of one account. */
  private static final class AccountState {
    double tokens;
    double requests;
    long settledAtNanos;
    boolean settled;
    int open;

    void earn(PlanLimits limits, double share, long nanos) {
      if (nanos <= 0) {
        // The burst of a share under which no time has passed must not clip the buckets.
        return;
      }
      double seconds = Math.max(0, nanos) / NANOS_PER_SECOND;
      double requestBurst = Math.max(1, limits.requestsPerSecond() * share);
      tokens =
          Math.min(
              limits.burstTokens() * share, tokens + limits.tokensPerSecond() * share * seconds);
      requests = Math.min(requestBurst, requests + limits.requestsPerSecond() * share * seconds);
    }
  }
}
