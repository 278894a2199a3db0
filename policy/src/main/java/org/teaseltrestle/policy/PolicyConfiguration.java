package org.teaseltrestle.policy;

import org.jspecify.annotations.Nullable;
import org.teaseltrestle.model.FailureDomain;

/** Immutable settings of the decisions. Build one with {@link #builder()}. */
public final class PolicyConfiguration {

  private final Builder values;

  private PolicyConfiguration(Builder values) {
    this.values = values;
  }

  /** Returns a builder with the default settings. */
  public static Builder builder() {
    return new Builder();
  }

  /** Returns how a backend server is chosen. */
  public ReplicaChoice replicaChoice() {
    return values.replicaChoice;
  }

  /** Returns the order in which waiting requests are dispatched. */
  public Queueing queueing() {
    return values.queueing;
  }

  /** Returns whether engine roles follow the mix of work. */
  public Roles roles() {
    return values.roles;
  }

  /** Returns whether the number of backend servers follows the demand. */
  public Spending spending() {
    return values.spending;
  }

  /** Returns the failure domain of this instance, null if all domains cost the same. */
  public @Nullable FailureDomain ownFailureDomain() {
    return values.ownFailureDomain;
  }

  /** Returns the number of requests that may wait for one model or service. */
  public int maximumQueuedRequests() {
    return values.maximumQueuedRequests;
  }

  /** Returns the work, in tokens, that may wait for one model or service. */
  public long maximumQueuedWork() {
    return values.maximumQueuedWork;
  }

  /** Returns the longest time in nanoseconds that a request waits. */
  public long maximumQueueNanos() {
    return values.maximumQueueNanos;
  }

  /** Returns the number of requests that this instance runs at one backend server at most. */
  public int maximumRunningPerServer() {
    return values.maximumRunningPerServer;
  }

  /** Returns the number of requests waiting inside a backend server above which it gets no more. */
  public int maximumWaitingPerServer() {
    return values.maximumWaitingPerServer;
  }

  /** Returns the number of attempts of one request that failures of its own may use up. */
  public int maximumAttempts() {
    return values.maximumAttempts;
  }

  /** Returns the retries allowed per request, as a ratio. */
  public double retryRatio() {
    return values.retryRatio;
  }

  /** Returns the prefill rate assumed of an engine before one is measured, in tokens a second. */
  public double initialPrefillTokensPerSecond() {
    return values.initialPrefillTokensPerSecond;
  }

  /** Returns the time between two tokens that engines are to keep, in nanoseconds. */
  public long betweenTokensNanos() {
    return values.betweenTokensNanos;
  }

  /** Returns the cost of leaving the own failure domain, as nanoseconds of queueing. */
  public long spillCostNanos() {
    return values.spillCostNanos;
  }

  /**
   * Returns the retries that all instances together may save up, 0 if each instance saves up its
   * own.
   */
  public double sharedRetryReserve() {
    return values.sharedRetryReserve;
  }

  /** Returns the resumptions of answers by which the retry budget may be overdrawn. */
  public double resumeOverdraft() {
    return values.resumeOverdraft;
  }

  /** Returns the age in nanoseconds at which a load report says nothing any more. */
  public long maximumReportAgeNanos() {
    return values.maximumReportAgeNanos;
  }

  /** Returns what accounts without a plan may use. */
  public Unplanned unplanned() {
    return values.unplanned;
  }

  /** Returns what may run on cheap capacity. */
  public CheapWork cheapWork() {
    return values.cheapWork;
  }

  /** Returns the limits of requests on routes that are open to all. */
  public PlanLimits openRouteLimits() {
    return values.openRouteLimits;
  }

  /** How a backend server is chosen. */
  public enum ReplicaChoice {
    /** In turn. Baseline. */
    ROUND_ROBIN,
    /** The lowest load by the last report. Baseline. */
    LEAST_LOAD,
    /** By estimated cost, from corrected load, cached prefixes, domain and role. */
    ADAPTIVE,
    /** By estimated cost; prompts that share a part go to the same engine as long as it pays. */
    AFFINITY
  }

  /** What may run on cheap capacity. */
  public enum CheapWork {
    /** Only what can be run again elsewhere: cheap servers vanish without notice. */
    REPEATABLE,
    /** Everything: notice is longer than almost all answers. */
    ALL
  }

  /** What accounts without a plan may use. */
  public enum Unplanned {
    /** Nothing: their requests are refused. */
    REFUSED,
    /** Everything, bounded by capacity and fairness only. */
    UNLIMITED
  }

  /** Order in which waiting requests are dispatched. */
  public enum Queueing {
    /** By arrival. Baseline. */
    FIRST_COME,
    /** Weighted fair between client accounts. */
    FAIR
  }

  /** Whether engine roles follow the mix of work. */
  public enum Roles {
    /** Roles stay as they are. Baseline. */
    STATIC,
    /** Roles follow the measured mix. */
    ADAPTIVE
  }

  /** Whether the number of backend servers follows the demand. */
  public enum Spending {
    /** Nothing is ordered or released. Baseline. */
    STATIC,
    /** The number follows the demand. */
    ADAPTIVE
  }

  /** Collects settings. Every setting has a default; durations are in nanoseconds. */
  public static final class Builder {

    // Defaults. The queue bounds hold about two seconds of work of a pool of eight engines.
    private ReplicaChoice replicaChoice = ReplicaChoice.ADAPTIVE;
    private Queueing queueing = Queueing.FAIR;
    private Roles roles = Roles.ADAPTIVE;
    private Spending spending = Spending.ADAPTIVE;
    private @Nullable FailureDomain ownFailureDomain;
    private int maximumQueuedRequests = 1_024;
    private long maximumQueuedWork = 2_000_000;
    private long maximumQueueNanos = 5_000_000_000L;
    private int maximumRunningPerServer = 64;
    private int maximumWaitingPerServer = 2;
    private int maximumAttempts = 3;
    private double retryRatio = 0.1;
    private double initialPrefillTokensPerSecond = 8_000;
    private long betweenTokensNanos = 41_000_000L;
    private long spillCostNanos = 30_000_000L;
    private double sharedRetryReserve;
    private double resumeOverdraft = 256; // answers that a vanishing failure domain leaves at once
    private long maximumReportAgeNanos = Long.MAX_VALUE;
    private Unplanned unplanned = Unplanned.REFUSED;
    private CheapWork cheapWork = CheapWork.REPEATABLE;
    private PlanLimits openRouteLimits =
        new PlanLimits(
            WorkRequest.OPEN_ROUTE_ACCOUNT,
            1,
            Integer.MAX_VALUE,
            1_000,
            1_000,
            100,
            64,
            PlanLimits.CheapCapacity.NEVER);

    private Builder() {}

    /** Sets how a backend server is chosen. */
    public Builder replicaChoice(ReplicaChoice value) {
      replicaChoice = value;
      return this;
    }

    /** Sets the order in which waiting requests are dispatched. */
    public Builder queueing(Queueing value) {
      queueing = value;
      return this;
    }

    /** Sets whether engine roles follow the mix. */
    public Builder roles(Roles value) {
      roles = value;
      return this;
    }

    /** Sets whether the number of backend servers follows the demand. */
    public Builder spending(Spending value) {
      spending = value;
      return this;
    }

    /** Sets the failure domain of this instance. */
    public Builder ownFailureDomain(FailureDomain value) {
      ownFailureDomain = value;
      return this;
    }

    /** Sets the number of requests that may wait for one model or service. */
    public Builder maximumQueuedRequests(int value) {
      maximumQueuedRequests = value;
      return this;
    }

    /** Sets the work, in tokens, that may wait for one model or service. */
    public Builder maximumQueuedWork(long value) {
      maximumQueuedWork = value;
      return this;
    }

    /** Sets the longest time that a request waits. */
    public Builder maximumQueueNanos(long value) {
      maximumQueueNanos = value;
      return this;
    }

    /** Sets the number of requests that this instance runs at one backend server at most. */
    public Builder maximumRunningPerServer(int value) {
      maximumRunningPerServer = value;
      return this;
    }

    /** Sets the number of requests waiting in a backend server above which it gets no more. */
    public Builder maximumWaitingPerServer(int value) {
      maximumWaitingPerServer = value;
      return this;
    }

    /** Sets the number of attempts that a request's own failures may use up. */
    public Builder maximumAttempts(int value) {
      maximumAttempts = value;
      return this;
    }

    /** Sets the retries allowed per request, as a ratio. */
    public Builder retryRatio(double value) {
      retryRatio = value;
      return this;
    }

    /** Sets the prefill rate assumed before one is measured, in tokens a second. */
    public Builder initialPrefillTokensPerSecond(double value) {
      initialPrefillTokensPerSecond = value;
      return this;
    }

    /** Sets the time between two tokens that engines are to keep. */
    public Builder betweenTokensNanos(long value) {
      betweenTokensNanos = value;
      return this;
    }

    /** Sets the cost of leaving the own failure domain, as nanoseconds of queueing. */
    public Builder spillCostNanos(long value) {
      spillCostNanos = value;
      return this;
    }

    /** Sets the retries that all instances together may save up. */
    public Builder sharedRetryReserve(double value) {
      sharedRetryReserve = value;
      return this;
    }

    /** Sets the resumptions of answers by which the retry budget may be overdrawn. */
    public Builder resumeOverdraft(double value) {
      resumeOverdraft = value;
      return this;
    }

    /** Sets the age at which a load report says nothing any more. */
    public Builder maximumReportAgeNanos(long value) {
      maximumReportAgeNanos = value;
      return this;
    }

    /** Sets what accounts without a plan may use. */
    public Builder unplanned(Unplanned value) {
      unplanned = value;
      return this;
    }

    /** Sets what may run on cheap capacity. */
    public Builder cheapWork(CheapWork value) {
      cheapWork = value;
      return this;
    }

    /** Sets the limits of requests on routes that are open to all. */
    public Builder openRouteLimits(PlanLimits value) {
      openRouteLimits = value;
      return this;
    }

    /** Returns the configuration; later changes of this builder do not affect it. */
    public PolicyConfiguration build() {
      Builder copy = new Builder();
      copy.replicaChoice = replicaChoice;
      copy.queueing = queueing;
      copy.roles = roles;
      copy.spending = spending;
      copy.ownFailureDomain = ownFailureDomain;
      copy.maximumQueuedRequests = maximumQueuedRequests;
      copy.maximumQueuedWork = maximumQueuedWork;
      copy.maximumQueueNanos = maximumQueueNanos;
      copy.maximumRunningPerServer = maximumRunningPerServer;
      copy.maximumWaitingPerServer = maximumWaitingPerServer;
      copy.maximumAttempts = maximumAttempts;
      copy.retryRatio = retryRatio;
      copy.initialPrefillTokensPerSecond = initialPrefillTokensPerSecond;
      copy.betweenTokensNanos = betweenTokensNanos;
      copy.spillCostNanos = spillCostNanos;
      copy.sharedRetryReserve = sharedRetryReserve;
      copy.resumeOverdraft = resumeOverdraft;
      copy.maximumReportAgeNanos = maximumReportAgeNanos;
      copy.unplanned = unplanned;
      copy.cheapWork = cheapWork;
      copy.openRouteLimits = openRouteLimits;
      return new PolicyConfiguration(copy);
    }
  }
}
