package org.teaseltrestle.testkit.checker;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.teaseltrestle.testkit.replay.RequestResult;
import org.teaseltrestle.testkit.replay.RunRecords;

/** Everything that is known of a run after it has ended; immutable. */
public final class RunEvidence {

  /** Which faults were injected, as far as they excuse a broken answer. */
  public enum Faults {
    /** Only planned changes, drains and graceful shutdowns: no answer may break. */
    PLANNED_ONLY,
    /** Processes were killed, frozen or cut off: answers of those may break. */
    INJECTED
  }

  /**
   * A withdrawal that the system confirmed.
   *
   * @param account account whose only key was withdrawn
   * @param atMillis wall time of the confirmation
   */
  public record Withdrawal(String account, long atMillis) {}

  /**
   * A configuration revision.
   *
   * @param instance instance that showed it, empty for the operator's accepted change
   * @param revision revision
   * @param atMillis wall time
   */
  public record RevisionSeen(String instance, long revision, long atMillis) {}

  final RunRecords records;
  final List<RequestResult> results;
  final Faults faults;
  final Set<String> keys;
  final Map<String, String> logs;
  final Map<String, Long> gracefulStops;
  final List<Withdrawal> withdrawals;
  final List<RevisionSeen> accepted;
  final List<RevisionSeen> seen;
  final Duration leavingBound;
  final Duration listLag;
  final Duration withdrawalBound;
  final Duration configurationBound;

  private RunEvidence(Builder builder) {
    this.records = builder.records;
    this.results = List.copyOf(builder.results);
    this.faults = builder.faults;
    this.keys = Set.copyOf(builder.keys);
    this.logs = Map.copyOf(builder.logs);
    this.gracefulStops = Map.copyOf(builder.gracefulStops);
    this.withdrawals = List.copyOf(builder.withdrawals);
    this.accepted = List.copyOf(builder.accepted);
    this.seen = List.copyOf(builder.seen);
    this.leavingBound = builder.leavingBound;
    this.listLag = builder.listLag;
    this.withdrawalBound = builder.withdrawalBound;
    this.configurationBound = builder.configurationBound;
  }

  /** Returns a builder of evidence with the fakes' records. */
  public static Builder of(RunRecords records) {
    return new Builder(records);
  }

  /** Gathers evidence; all parts but the records may be left out. */
  public static final class Builder {

    private final RunRecords records;
    private final List<RequestResult> results = new ArrayList<>();
    private Faults faults = Faults.INJECTED;
    private final Set<String> keys = new HashSet<>();
    private final Map<String, String> logs = new HashMap<>();
    private final Map<String, Long> gracefulStops = new HashMap<>();
    private final List<Withdrawal> withdrawals = new ArrayList<>();
    private final List<RevisionSeen> accepted = new ArrayList<>();
    private final List<RevisionSeen> seen = new ArrayList<>();
    private Duration leavingBound = Duration.ofSeconds(2);
    private Duration listLag = Duration.ofMillis(500);
    private Duration withdrawalBound = Duration.ZERO;
    private Duration configurationBound = Duration.ofSeconds(15);

    private Builder(RunRecords records) {
      this.records = records;
    }

    /** Adds results of a replay. */
    public Builder results(List<RequestResult> more) {
      results.addAll(more);
      return this;
    }

    /** Sets which faults were injected. */
    public Builder faults(Faults injected) {
      faults = injected;
      return this;
    }

    /** Adds full keys that must not show up anywhere. */
    public Builder keys(Iterable<String> more) {
      more.forEach(keys::add);
      return this;
    }

    /** Adds a node's log. */
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

    /** Adds an accepted change of the configuration. */
    public Builder accepted(long revision, long atMillis) {
      accepted.add(new RevisionSeen("", revision, atMillis));
      return this;
    }

    /** Adds a revision that an instance showed as being in force. */
    public Builder seen(RevisionSeen revision) {
      seen.add(revision);
      return this;
    }

    /** Sets the time that a leaving backend server may still get new work. */
    public Builder leavingBound(Duration bound) {
      leavingBound = bound;
      return this;
    }

    /** Sets the lag of the platform's instance list. */
    public Builder listLag(Duration lag) {
      listLag = lag;
      return this;
    }

    /** Sets the time that a withdrawn key may still work after the confirmation. */
    public Builder withdrawalBound(Duration bound) {
      withdrawalBound = bound;
      return this;
    }

    /** Sets the time in which an accepted configuration must be in force. */
    public Builder configurationBound(Duration bound) {
      configurationBound = bound;
      return this;
    }

    /** Builds the evidence. */
    public RunEvidence build() {
      return new RunEvidence(this);
    }
  }
}
