package org.teaseltrestle.policy;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.model.ClientAccount;
import org.teaseltrestle.model.RefusalCode;

/**
 * Enforces the limits of client accounts at this instance: token buckets for work and for requests,
 * and a bound on open requests, each scaled by the instance's share.
 *
 * <p>A request larger than the scaled burst is admitted when the bucket is full and leaves its
 * level negative: the average rate still holds, and a small share does not exclude large requests.
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
   * @param retryAfter time until the buckets hold enough, null if it is unknown
   */
  record Denial(RefusalCode code, @Nullable Duration retryAfter) {}

  /** Admits and charges a request. Returns null, or the reason why it is not admitted. */
  @Nullable Denial admit(PlanLimits limits, int workTokens, long nowNanos) {
    AccountState state = states.computeIfAbsent(limits.account(), key -> new AccountState());
    double share = refill(state, limits, nowNanos);
    if (state.open >= maximumOpen(limits, share)) {
      return new Denial(RefusalCode.CONCURRENCY_LIMITED, null);
    }
    double requestBurst = Math.max(1, limits.requestsPerSecond() * share);
    double neededTokens = Math.min(workTokens, limits.burstTokens() * share);
    double tokenSeconds =
        secondsUntilAvailable(neededTokens, state.tokens, limits.tokensPerSecond() * share);
    double requestSeconds =
        secondsUntilAvailable(
            Math.min(1, requestBurst), state.requests, limits.requestsPerSecond() * share);
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

  /** Ends an admitted request that did not run, and refunds its complete charge. */
  void endNotRun(ClientAccount account, int workTokens) {
    end(account, workTokens);
    AccountState state = states.get(account);
    if (state != null) {
      state.requests += 1;
    }
  }

  /** Applies new shares; the buckets are first refilled at the old ones. */
  void grant(
      AdmissionEvent.SharesGranted event, Map<ClientAccount, PlanLimits> limits, long nowNanos) {
    refillAll(limits, nowNanos);
    shares = event.shares();
    totalDemand = event.totalDemand();
    sharesExpireAtNanos = event.expiresAtNanos();
    defaultShare = event.defaultShare();
  }

  /** Refills all buckets at the current limits, before these change. */
  void refillAll(Map<ClientAccount, PlanLimits> limits, long nowNanos) {
    for (Map.Entry<ClientAccount, AccountState> entry : states.entrySet()) {
      PlanLimits accountLimits = limits.get(entry.getKey());
      if (accountLimits != null) {
        refill(entry.getValue(), accountLimits, nowNanos);
      }
    }
  }

  /** Removes accounts that have neither limits nor open requests. */
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

  private double refill(AccountState state, PlanLimits limits, long nowNanos) {
    double granted = grantedShare(limits);
    boolean expired = nowNanos >= sharesExpireAtNanos;
    if (state.refilled) {
      long until = Math.max(state.refilledAtNanos, Math.min(nowNanos, sharesExpireAtNanos));
      state.accrue(limits, granted, until - state.refilledAtNanos);
      state.accrue(limits, defaultShare, nowNanos - until);
    } else {
      state.refilled = true;
      state.accrue(limits, expired ? defaultShare : granted, Long.MAX_VALUE);
    }
    state.refilledAtNanos = nowNanos;
    return expired ? defaultShare : granted;
  }

  /**
   * Returns the share that applies while the grant is valid. The used part of a limit is divided by
   * demand, so that the shares add up to 1. Of the unused part every instance may use up to {@code
   * 1/sqrt(N)}: when it was divided by past demand, single requests that arrived at an instance
   * without demand were refused. All N instances together can thus admit at most {@code sqrt(N)}
   * times the unused part until the next grants, which follow the demand within seconds.
   */
  private double grantedShare(PlanLimits limits) {
    double total = totalDemand.getOrDefault(limits.account(), 0.0);
    double used = Math.min(1, total / Math.max(1, limits.tokensPerSecond()));
    double byDemand = shares.getOrDefault(limits.account(), 0.0);
    return used * byDemand + (1 - used) * Math.sqrt(defaultShare);
  }

  /**
   * Returns the number of open requests allowed; at least one, since a small share would otherwise
   * block an account.
   */
  private static int maximumOpen(PlanLimits limits, double share) {
    return (int) Math.max(1, Math.floor(limits.maximumRunning() * share));
  }

  private static double secondsUntilAvailable(double needed, double available, double rate) {
    if (available >= needed) {
      return 0;
    }
    return rate > 0 ? (needed - available) / rate : Double.POSITIVE_INFINITY;
  }

  private static @Nullable Duration retryAfter(double seconds) {
    return Double.isInfinite(seconds) ? null : Duration.ofMillis((long) Math.ceil(seconds * 1_000));
  }

  /** Token buckets of one account. */
  private static final class AccountState {
    double tokens;
    double requests;
    long refilledAtNanos;
    boolean refilled;
    int open;

    void accrue(PlanLimits limits, double share, long nanos) {
      if (nanos <= 0) {
        // A share that applied for no time must not clip the buckets to its burst.
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
