package org.teaseltrestle.policy;

import org.jspecify.annotations.Nullable;
import org.teaseltrestle.model.FailureDomain;

/**
 * Immutable settings of admission, routing and fleet decisions. Build one with {@link #builder()}.
 */
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

  /** Returns whether engine roles follow the workload mix. */
  public Roles roles() {
    return values.roles;
  }

  /** Returns whether the number of backend servers follows the demand. */
  public Spending spending() {
    return values.spending;
  }

  /** Returns the failure domain of this instance, null if all domains are equally near. */
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

  /** Returns the maximum time in nanoseconds that a request waits in the queue. */
  public long maximumQueueNanos() {
    return values.maximumQueueNanos;
  }

  /** Returns the maximum number of requests that this instance runs at one backend server. */
  public int maximumRunningPerServer() {
    return values.maximumRunningPerServer;
  }

  /**
   * Returns the number of requests waiting inside a backend server above which it gets no more
   * requests.
   */
  public int maximumWaitingPerServer() {
    return values.maximumWaitingPerServer;
  }

  /**
   * Returns the maximum number of attempts of one request. Refusals by a leaving server do not
   * count.
   */
  public int maximumAttempts() {
    return values.maximumAttempts;
  }

  /** Returns the allowed ratio of retries to requests. */
  public double retryRatio() {
    return values.retryRatio;
  }

  /**
   * Returns the prefill rate in tokens per second that is assumed of an engine until one is
   * measured.
   */
  public double initialPrefillTokensPerSecond() {
    return values.initialPrefillTokensPerSecond;
  }

  /** Returns the target time between two output tokens of an engine, in nanoseconds. */
  public long betweenTokensNanos() {
    return values.betweenTokensNanos;
  }

  /**
   * Returns the cost of sending a request to another failure domain, in nanoseconds of queueing
   * time.
   */
  public long crossDomainCostNanos() {
    return values.crossDomainCostNanos;
  }

  /**
   * Returns the number of unused retries that all instances together may accumulate, 0 if each
   * instance has a budget of its own.
   */
  public double sharedRetryReserve() {
    return values.sharedRetryReserve;
  }

  /** Returns the number of resumed responses by which the retry budget may be overdrawn. */
  public double resumeOverdraft() {
    return values.resumeOverdraft;
  }

  /** Returns the age in nanoseconds above which a load report is ignored. */
  public long maximumReportAgeNanos() {
    return values.maximumReportAgeNanos;
  }

  /** Returns what accounts without a plan may use. */
  public AccountsWithoutPlan accountsWithoutPlan() {
    return values.accountsWithoutPlan;
  }

  /** Returns what may run on preemptible capacity. */
  public CheapWork cheapWork() {
    return values.cheapWork;
  }

  /** Returns the limits of requests on routes without authentication, which share one account. */
  public PlanLimits openRouteLimits() {
    return values.openRouteLimits;
  }

  /** How a backend server is chosen. */
  public enum ReplicaChoice {
    /** Round robin. Baseline. */
    ROUND_ROBIN,
    /** Lowest load in the last report. Baseline. */
    LEAST_LOAD,
    /**
     * Lowest estimated cost of a few samples, from corrected load, cached prefixes, domain and
     * role.
     */
    ADAPTIVE,
    /**
     * Lowest estimated cost; prompts with a shared prefix go to the same engine as long as that is
     * cheaper.
     */
    AFFINITY
  }

  /** What may run on preemptible capacity. */
  public enum CheapWork {
    /**
     * Only requests that can be run again elsewhere; for servers that are reclaimed without notice.
     */
    REPEATABLE,
    /** All requests; for servers whose notice is longer than almost all responses. */
    ALL
  }

  /** What accounts without a plan may use. */
  public enum AccountsWithoutPlan {
    /** Nothing: their requests are refused. */
    REFUSED,
    /** Unlimited use, bounded by capacity and fair queueing only. */
    UNLIMITED
  }

  /** Order in which waiting requests are dispatched. */
  public enum Queueing {
    /** By arrival. Baseline. */
    FIRST_COME,
    /** Weighted fair queueing between client accounts. */
    FAIR
  }

  /** Whether engine roles follow the workload mix. */
  public enum Roles {
    /** Roles stay as they are. Baseline. */
    STATIC,
    /** Roles follow the measured workload mix. */
    ADAPTIVE
  }

  /** Whether the number of backend servers follows the demand. */
  public enum Spending {
    /** Nothing is ordered or released. Baseline. */
    STATIC,
    /** The number follows the demand. */
    ADAPTIVE
  }

  /** Builder of a configuration. Every setting has a default; durations are in nanoseconds. */
  public static final class Builder {

    // The default queue limits hold about two seconds of work for a pool of eight engines.
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
    private long crossDomainCostNanos = 30_000_000L;
    private double sharedRetryReserve;
    private double resumeOverdraft =
        256; // responses that the loss of one failure domain interrupts
    private long maximumReportAgeNanos = Long.MAX_VALUE;
    private AccountsWithoutPlan accountsWithoutPlan = AccountsWithoutPlan.REFUSED;
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

    /** Sets whether engine roles follow the workload mix. */
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

    /** Sets the maximum time that a request waits in the queue. */
    public Builder maximumQueueNanos(long value) {
      maximumQueueNanos = value;
      return this;
    }

    /** Sets the maximum number of requests that this instance runs at one backend server. */
    public Builder maximumRunningPerServer(int value) {
      maximumRunningPerServer = value;
      return this;
    }

    /** Sets the number of requests waiting inside a backend server above which it gets no more. */
    public Builder maximumWaitingPerServer(int value) {
      maximumWaitingPerServer = value;
      return this;
    }

    /** Sets the maximum number of attempts of one request. */
    public Builder maximumAttempts(int value) {
      maximumAttempts = value;
      return this;
    }

    /** Sets the allowed ratio of retries to requests. */
    public Builder retryRatio(double value) {
      retryRatio = value;
      return this;
    }

    /** Sets the prefill rate in tokens per second that is assumed until one is measured. */
    public Builder initialPrefillTokensPerSecond(double value) {
      initialPrefillTokensPerSecond = value;
      return this;
    }

    /** Sets the target time between two output tokens. */
    public Builder betweenTokensNanos(long value) {
      betweenTokensNanos = value;
      return this;
    }

    /**
     * Sets the cost of sending a request to another failure domain, in nanoseconds of queueing
     * time.
     */
    public Builder crossDomainCostNanos(long value) {
      crossDomainCostNanos = value;
      return this;
    }

    /** Sets the number of unused retries that all instances together may accumulate. */
    public Builder sharedRetryReserve(double value) {
      sharedRetryReserve = value;
      return this;
    }

    /** Sets the number of resumed responses by which the retry budget may be overdrawn. */
    public Builder resumeOverdraft(double value) {
      resumeOverdraft = value;
      return this;
    }

    /** Sets the age above which a load report is ignored. */
    public Builder maximumReportAgeNanos(long value) {
      maximumReportAgeNanos = value;
      return this;
    }

    /** Sets what accounts without a plan may use. */
    public Builder accountsWithoutPlan(AccountsWithoutPlan value) {
      accountsWithoutPlan = value;
      return this;
    }

    /** Sets what may run on preemptible capacity. */
    public Builder cheapWork(CheapWork value) {
      cheapWork = value;
      return this;
    }

    /** Sets the limits of requests on routes without authentication. */
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
      copy.crossDomainCostNanos = crossDomainCostNanos;
      copy.sharedRetryReserve = sharedRetryReserve;
      copy.resumeOverdraft = resumeOverdraft;
      copy.maximumReportAgeNanos = maximumReportAgeNanos;
      copy.accountsWithoutPlan = accountsWithoutPlan;
      copy.cheapWork = cheapWork;
      copy.openRouteLimits = openRouteLimits;
      return new PolicyConfiguration(copy);
    }
  }
}
