package org.teaseltrestle.policy;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.model.BackendServerId;
import org.teaseltrestle.policy.fleet.Rendezvous;

/**
 * The requests a second that backend servers take from all nodes together, as far as their
 * responses to this node or to others named them. What this node learned holds at once; it is
 * reported unless the others know it.
 */
final class ServerLimits {

  /** Part by which a named limit differs from the shared one before it is reported. */
  private static final double MATERIAL_DIFFERENCE = 0.05;

  private static final long REPORT_NANOS = 500_000_000L;

  /** Time after which a report that had no effect is made again. */
  private static final long SAME_REPORT_NANOS = 5_000_000_000L;

  /** Age up to which a confirmation may be later than the response that ended a limit elsewhere. */
  private static final long CONFIRMATION_NANOS = 1_000_000_000L;

  private final Map<BackendServerId, Belief> beliefs = new LinkedHashMap<>();
  private Map<BackendServerId, SharedServerLimit> shared = new HashMap<>();
  private List<String> relays = List.of();
  private String self = "";

  /** What this node knows of the limit of one listed server. */
  private static final class Belief {
    final BackendServerId server;
    final LimitShare share;

    /** Requests a second that the server takes, null if it names no limit. */
    @Nullable Double rate;

    /** Monotonic time at which this node learned the rate. */
    long learnedAtNanos;

    /** Whether a response to this node named the rate since the shared limit was received. */
    boolean confirmedHere;

    /** Monotonic time of the latest response to this node that named the rate. */
    long confirmedAtNanos;

    /** Version of the shared limit, 0 if there is none. */
    long version;

    /** Whether a response to this node ended the shared limit of that version. */
    boolean endedHere;

    long nextReportNanos = Long.MIN_VALUE;
    long sameReportNanos = Long.MIN_VALUE;
    AdmissionAction.@Nullable ReportServerLimit lastReport;

    Belief(BackendServerId server, LimitShare share) {
      this.server = server;
      this.share = share;
    }
  }

  /** Drops what is known of servers that are not listed; learns the shared limits of new ones. */
  void replaceServers(List<ServerState> listed, long nowNanos) {
    Map<BackendServerId, Belief> known = new HashMap<>(beliefs);
    beliefs.clear();
    for (ServerState state : listed) {
      BackendServerId id = state.server.id();
      Belief belief = known.remove(id);
      if (belief == null) {
        belief = new Belief(id, state.limitShare);
        applySharedTo(belief, shared.get(id), nowNanos);
      }
      beliefs.put(id, belief);
    }
    known.values().forEach(gone -> gone.share.end());
  }

  /**
   * Applies what a response said.
   *
   * @return whether any decision may change
   */
  boolean applyNamed(AdmissionEvent.ServerLimitNamed named, long nowNanos) {
    Belief belief = beliefs.get(named.server());
    OptionalDouble rate = named.requestsPerSecond();
    if (belief == null || (rate.isPresent() && Double.isNaN(rate.getAsDouble()))) {
      return false;
    }
    if (rate.isEmpty()) {
      return endByResponse(belief, named.sentAtNanos());
    }
    final boolean changed = belief.rate == null || belief.rate != rate.getAsDouble();
    belief.confirmedHere = true;
    belief.confirmedAtNanos = nowNanos;
    belief.endedHere = false;
    if (changed) {
      learn(belief, rate.getAsDouble(), nowNanos);
    }
    return changed;
  }

  /** Applies the limits that nodes passed on. */
  void applyShared(AdmissionEvent.ServerLimitsShared event, long nowNanos) {
    shared = new HashMap<>(event.limits());
    shared.values().removeIf(limit -> Double.isNaN(limit.requestsPerSecond()));
    for (Belief belief : beliefs.values()) {
      applySharedTo(belief, shared.get(belief.server), nowNanos);
    }
  }

  /** Applies the nodes between which limits are shared. */
  void applyRelays(AdmissionEvent.RelaysChanged event, long nowNanos) {
    relays = event.relays().stream().distinct().toList();
    self = event.self();
    for (Belief belief : beliefs.values()) {
      if (belief.rate != null) {
        belief.share.limit(belief.rate, place(belief.server), nowNanos);
      }
    }
  }

  /** Adds a report of each limit that the other nodes don't know as this node does. */
  void report(long nowNanos, List<AdmissionAction> actions) {
    for (Belief belief : beliefs.values()) {
      if (nowNanos < belief.nextReportNanos || !isNews(belief)) {
        continue;
      }
      OptionalDouble rate =
          belief.rate == null ? OptionalDouble.empty() : OptionalDouble.of(belief.rate);
      AdmissionAction.ReportServerLimit report =
          new AdmissionAction.ReportServerLimit(belief.server, rate, belief.version);
      if (report.equals(belief.lastReport) && nowNanos < belief.sameReportNanos) {
        continue;
      }
      belief.lastReport = report;
      belief.nextReportNanos = nowNanos + REPORT_NANOS;
      belief.sameReportNanos = nowNanos + SAME_REPORT_NANOS;
      actions.add(report);
    }
  }

  /** Returns whether any listed server is limited. */
  boolean any() {
    return beliefs.values().stream().anyMatch(belief -> belief.share.isLimited());
  }

  private boolean isNews(Belief belief) {
    if (belief.rate == null) {
      return belief.endedHere;
    }
    SharedServerLimit limit = shared.get(belief.server);
    return belief.confirmedHere
        && (limit == null || differs(belief.rate, limit.requestsPerSecond()));
  }

  private static boolean differs(double left, double right) {
    double leftRate = LimitShare.pacedRate(left);
    double rightRate = LimitShare.pacedRate(right);
    return Math.abs(leftRate - rightRate) > MATERIAL_DIFFERENCE * Math.max(leftRate, rightRate);
  }

  private static boolean endByResponse(Belief belief, long sentAtNanos) {
    // The server may have answered an earlier request before it named the limit.
    if (belief.rate == null || sentAtNanos <= belief.learnedAtNanos) {
      return false;
    }
    end(belief);
    belief.endedHere = belief.version != 0;
    return true;
  }

  private void applySharedTo(Belief belief, @Nullable SharedServerLimit limit, long nowNanos) {
    if (limit == null) {
      if (belief.version != 0) {
        belief.version = 0;
        belief.endedHere = false;
        boolean laterThanEnd =
            belief.confirmedHere && nowNanos < belief.confirmedAtNanos + CONFIRMATION_NANOS;
        belief.confirmedHere = false;
        if (!laterThanEnd) {
          end(belief);
        }
      }
    } else if (limit.version() > belief.version) {
      belief.version = limit.version();
      belief.endedHere = false;
      if (belief.rate == null || belief.rate != limit.requestsPerSecond()) {
        belief.confirmedHere = false;
        learn(belief, limit.requestsPerSecond(), nowNanos);
      }
    }
  }

  private void learn(Belief belief, double rate, long nowNanos) {
    belief.rate = rate;
    belief.learnedAtNanos = nowNanos;
    belief.share.limit(rate, place(belief.server), nowNanos);
  }

  private static void end(Belief belief) {
    belief.rate = null;
    belief.confirmedHere = false;
    belief.share.end();
  }

  /** Returns the place of this node among the relays; alone if none are known. */
  private LimitShare.Place place(BackendServerId server) {
    if (relays.isEmpty()) {
      return new LimitShare.Place(0, 1);
    }
    if (!relays.contains(self)) {
      return new LimitShare.Place(relays.size(), relays.size());
    }
    long serverHash = Rendezvous.hash(server.value());
    long own = Rendezvous.score(serverHash, Rendezvous.hash(self));
    int rank = 0;
    for (String relay : relays) {
      int order = Long.compareUnsigned(Rendezvous.score(serverHash, Rendezvous.hash(relay)), own);
      if (order > 0 || (order == 0 && relay.compareTo(self) < 0)) {
        rank++;
      }
    }
    return new LimitShare.Place(rank, relays.size());
  }
}
