package org.teaseltrestle.testkit.checker;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.teaseltrestle.testkit.replay.FakeRecords;
import org.teaseltrestle.testkit.replay.RequestResult;

/** Records, results and logs of a run on which the invariants are checked; immutable. */
public final class RunEvidence {

  /** Which faults were injected; they decide whether an interrupted response is a violation. */
  public enum Faults {
    /** Only planned changes, drains and graceful shutdowns: no response may be interrupted. */
    PLANNED_ONLY,
    /** Processes were killed, frozen or partitioned: their responses may be interrupted. */
    INJECTED
  }

  /**
   * A confirmed withdrawal of a key.
   *
   * @param account account whose only key was withdrawn
   * @param atMillis wall time of the confirmation
   */
  public record Withdrawal(String account, long atMillis) {}

  /**
   * A configuration revision that was accepted or observed.
   *
   * @param instance instance on which it was active, empty for a change that operators made
   * @param revision revision number
   * @param atMillis wall time of the observation, or of the acceptance
   */
  public record RevisionObservation(String instance, long revision, long atMillis) {}

  final FakeRecords records;
  final List<RequestResult> results;
  final Faults faults;
  final Set<String> keys;
  final Map<String, String> logs;
  final Map<String, Long> gracefulStops;
  final List<Withdrawal> withdrawals;
  final List<RevisionObservation> acceptedRevisions;
  final List<RevisionObservation> observedRevisions;
  final Duration leavingGracePeriod;
  final Duration listLag;
  final Duration withdrawalGracePeriod;
  final Duration activationTimeout;

  private RunEvidence(Builder builder) {
    this.records = builder.records;
    this.results = List.copyOf(builder.results);
    this.faults = builder.faults;
    this.keys = Set.copyOf(builder.keys);
    this.logs = Map.copyOf(builder.logs);
    this.gracefulStops = Map.copyOf(builder.gracefulStops);
    this.withdrawals = List.copyOf(builder.withdrawals);
    this.acceptedRevisions = List.copyOf(builder.acceptedRevisions);
    this.observedRevisions = List.copyOf(builder.observedRevisions);
    this.leavingGracePeriod = builder.leavingGracePeriod;
    this.listLag = builder.listLag;
    this.withdrawalGracePeriod = builder.withdrawalGracePeriod;
    this.activationTimeout = builder.activationTimeout;
  }

  /** Returns a builder of evidence that starts with the fakes' records. */
  public static Builder builder(FakeRecords records) {
    return new Builder(records);
  }

  /** Collects evidence; everything but the records is optional. */
  public static final class Builder {

    private final FakeRecords records;
    private final List<RequestResult> results = new ArrayList<>();
    private Faults faults = Faults.INJECTED;
    private final Set<String> keys = new HashSet<>();
    private final Map<String, String> logs = new HashMap<>();
    private final Map<String, Long> gracefulStops = new HashMap<>();
    private final List<Withdrawal> withdrawals = new ArrayList<>();
    private final List<RevisionObservation> acceptedRevisions = new ArrayList<>();
    private final List<RevisionObservation> observedRevisions = new ArrayList<>();
    private Duration leavingGracePeriod = Duration.ofSeconds(2);
    private Duration listLag = Duration.ofMillis(500);
    private Duration withdrawalGracePeriod = Duration.ZERO;
    private Duration activationTimeout = Duration.ofSeconds(15);

    private Builder(FakeRecords records) {
      this.records = records;
    }

    /** Adds results of a replay. */
    public Builder results(List<RequestResult> more) {
      results.addAll(more);
      return this;
    }

    /** Sets which faults were injected; the default is {@link Faults#INJECTED}. */
    public Builder faults(Faults injected) {
      faults = injected;
      return this;
    }

    /** Adds complete keys whose secrets must not appear in any record or log. */
    public Builder keys(Iterable<String> more) {
      more.forEach(keys::add);
      return this;
    }

    /** Adds the complete log of a node. */
    public Builder log(String instance, String text) {
      logs.put(instance, text);
      return this;
    }

    /** Adds a graceful stop of the entry instance with this caller address. */
    public Builder gracefulStop(String callerAddress, long atMillis) {
      gracefulStops.put(callerAddress, atMillis);
      return this;
    }

    /** Adds a confirmed withdrawal. */
    public Builder withdrawal(Withdrawal withdrawal) {
      withdrawals.add(withdrawal);
      return this;
    }

    /** Adds a configuration revision that was accepted. */
    public Builder acceptedRevision(long revision, long atMillis) {
      acceptedRevisions.add(new RevisionObservation("", revision, atMillis));
      return this;
    }

    /** Adds a revision that was active on an instance. */
    public Builder observedRevision(RevisionObservation revision) {
      observedRevisions.add(revision);
      return this;
    }

    /** Sets how long a leaving backend server may still receive new work; the default is 2 s. */
    public Builder leavingGracePeriod(Duration limit) {
      leavingGracePeriod = limit;
      return this;
    }

    /** Sets the delay of the platform's instance list; the default is 500 ms. */
    public Builder listLag(Duration lag) {
      listLag = lag;
      return this;
    }

    /** Sets how long a key may work after its withdrawal was confirmed; the default is zero. */
    public Builder withdrawalGracePeriod(Duration limit) {
      withdrawalGracePeriod = limit;
      return this;
    }

    /** Sets the time within which an accepted configuration must be active; the default is 15 s. */
    public Builder activationTimeout(Duration limit) {
      activationTimeout = limit;
      return this;
    }

    /** Builds the evidence. */
    public RunEvidence build() {
      return new RunEvidence(this);
    }
  }
}
