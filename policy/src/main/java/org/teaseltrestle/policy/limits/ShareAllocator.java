package org.teaseltrestle.policy.limits;

import java.util.HashMap;
import java.util.Map;
import org.teaseltrestle.model.ClientAccount;
import org.teaseltrestle.model.InstanceId;

/**
 * Divides each account's limit over the entry instances by their demand. Pure; used by one thread
 * of the leader.
 *
 * <p>A part of each limit is divided evenly, the rest by demand. A participant's share grows only
 * by what others have confirmed to have given up, so the shares in force never add up to more than
 * 1 while at most one participant is cut off at a time. A silent participant keeps a reserve of its
 * last share or its even part, whichever is larger, because it falls back to the even part when its
 * grant expires. If many are cut off at once, some may hold a large grant while others have fallen
 * back already: then the sum stays below {@code 2 - evenPart}, for at most one grant lifetime. A
 * new leader knows no earlier grants, so the same bound holds until each participant has renewed
 * once.
 *
 * <p>A participant is an instance, or a subtree of the dissemination tree with several instances.
 * Each renewal costs a scan over the participants for each account with demand.
 */
public final class ShareAllocator {

  /** Change of a share below which the old one is kept, so that few shares change. */
  private static final double LEAST_CHANGE = 0.1;

  /** Weight of the newest demand. Shares follow a change of demand within about five renewals. */
  private static final double NEWEST = 0.3;

  private final Settings settings;
  private final Map<InstanceId, Participant> participants = new HashMap<>();
  private final Map<ClientAccount, Map<InstanceId, Holding>> accounts = new HashMap<>();
  private long lastGrant;

  /**
   * Creates an allocator without participants.
   *
   * @param firstGrant number above those of all earlier leaders, for example the fencing number
   *     shifted left; a participant ignores a grant with a lower number than its last
   */
  public ShareAllocator(Settings settings, long firstGrant) {
    this.settings = settings;
    this.lastGrant = firstGrant;
  }

  /**
   * Settings of the division.
   *
   * @param evenPart part of each limit that is divided evenly, 0 to 1
   * @param headroom part that is not divided by demand, so that a new participant finds a share
   * @param lifetimeNanos time for which a grant holds at the participant
   * @param silentAfterNanos time without a renewal after which a reserve is kept; at most a third
   *     of the lifetime, so that the others have shrunk before the silent grant expires
   */
  public record Settings(
      double evenPart, double headroom, long lifetimeNanos, long silentAfterNanos) {

    /** Default settings. */
    public static final Settings DEFAULT =
        new Settings(0.25, 0.02, 10_000_000_000L, 3_000_000_000L);
  }

  /**
   * Demand of one participant.
   *
   * @param instances instances that the participant stands for
   * @param demand work asked for by account, in tokens a second, refused work included
   * @param confirmedGrant number of the last grant in force at the participant, 0 if none
   */
  public record Renewal(
      InstanceId participant,
      int instances,
      Map<ClientAccount, Double> demand,
      long confirmedGrant) {

    /** Copies the demand. */
    public Renewal {
      demand = Map.copyOf(demand);
    }
  }

  /**
   * Shares of one participant.
   *
   * @param number rising number that the participant's next renewal confirms
   * @param shares share by account; accounts that are missing have the default share
   * @param lifetimeNanos validity, counted from the send time of the renewal that is answered
   * @param defaultShare share of accounts without demand, and of all after the end of validity
   */
  public record Grant(
      long number, Map<ClientAccount, Double> shares, long lifetimeNanos, double defaultShare) {}

  /** Takes over a renewal and answers it with a grant. */
  public Grant renew(Renewal renewal, long nowNanos) {
    Participant participant =
        participants.computeIfAbsent(renewal.participant(), id -> new Participant(nowNanos));
    participant.instances = renewal.instances();
    final boolean wasSilent = isSilent(renewal.participant(), nowNanos);
    if (participant.granted == 0 || renewal.confirmedGrant() >= participant.granted) {
      participant.reachedAtNanos = nowNanos;
    }
    for (ClientAccount account : renewal.demand().keySet()) {
      accounts.computeIfAbsent(account, key -> evenHoldings());
    }
    lastGrant++;
    participant.granted = lastGrant;
    Map<ClientAccount, Double> shares = new HashMap<>();
    for (Map.Entry<ClientAccount, Map<InstanceId, Holding>> entry : accounts.entrySet()) {
      Map<InstanceId, Holding> holdings = entry.getValue();
      Holding holding = holdings.computeIfAbsent(renewal.participant(), id -> new Holding());
      double demand = renewal.demand().getOrDefault(entry.getKey(), 0.0);
      holding.demand += NEWEST * (demand - holding.demand);
      holding.confirm(renewal.confirmedGrant());
      if (wasSilent) {
        // It may have fallen back to the even part, and does so until it confirms this grant.
        holding.raise(even(renewal.instances()), lastGrant);
      }
      double share = divide(renewal.participant(), holding, holdings, nowNanos);
      holding.grant(share, lastGrant);
      shares.put(entry.getKey(), share);
    }
    return new Grant(lastGrant, shares, settings.lifetimeNanos(), even(renewal.instances()));
  }

  /** Removes a participant that surely runs no more; its shares are free at once. */
  public void retire(InstanceId participant) {
    participants.remove(participant);
    accounts.values().forEach(holdings -> holdings.remove(participant));
  }

  /** Forgets an account that is no longer in the lists. */
  public void remove(ClientAccount account) {
    accounts.remove(account);
  }

  /** Returns the sum of the shares of an account that may be in force, reserves included. */
  public double committed(ClientAccount account, long nowNanos) {
    double sum = 0;
    for (Map.Entry<InstanceId, Holding> entry :
        accounts.getOrDefault(account, Map.of()).entrySet()) {
      sum += bound(entry.getKey(), entry.getValue(), nowNanos);
    }
    return sum;
  }

  private double divide(
      InstanceId self, Holding own, Map<InstanceId, Holding> holdings, long nowNanos) {
    double reserved = 0;
    double others = 0;
    double demand = own.demand;
    for (Map.Entry<InstanceId, Holding> entry : holdings.entrySet()) {
      if (entry.getKey().equals(self)) {
        continue;
      }
      double bound = bound(entry.getKey(), entry.getValue(), nowNanos);
      others += bound;
      if (isSilent(entry.getKey(), nowNanos)) {
        reserved += bound;
      } else {
        demand += entry.getValue().demand;
      }
    }
    double even = even(self);
    double byDemand = demand > 0 ? own.demand / demand : even;
    double free = Math.max(0, 1 - reserved);
    double target =
        free
            * (settings.evenPart() * even
                + (1 - settings.evenPart() - settings.headroom()) * byDemand);
    double limit = Math.max(0, 1 - others);
    boolean keep = Math.abs(target - own.current) < LEAST_CHANGE * own.current;
    return Math.min(limit, keep ? own.current : target);
  }

  private double bound(InstanceId id, Holding holding, long nowNanos) {
    return isSilent(id, nowNanos) ? Math.max(holding.bound, even(id)) : holding.bound;
  }

  private boolean isSilent(InstanceId id, long nowNanos) {
    Participant participant = participants.get(id);
    return participant == null
        || nowNanos - participant.reachedAtNanos > settings.silentAfterNanos();
  }

  /**
   * Until its first demand an account has no explicit shares: each participant uses the default.
   */
  private Map<InstanceId, Holding> evenHoldings() {
    Map<InstanceId, Holding> holdings = new HashMap<>();
    for (InstanceId id : participants.keySet()) {
      Holding holding = new Holding();
      holding.current = even(id);
      holding.bound = even(id);
      holdings.put(id, holding);
    }
    return holdings;
  }

  private double even(InstanceId id) {
    Participant participant = participants.get(id);
    return participant == null ? 0 : even(participant.instances);
  }

  private double even(int instances) {
    int total = 0;
    for (Participant participant : participants.values()) {
      total += participant.instances;
    }
    return total == 0 ? 0 : (double) instances / total;
  }

  private static final class Participant {
    int instances;

    /** Number of the last grant sent, 0 if none. */
    long granted;

    /** Time of the last renewal that showed the last grant to have arrived. */
    long reachedAtNanos;

    Participant(long nowNanos) {
      reachedAtNanos = nowNanos;
    }
  }

  /** What a participant holds of one account's limit. */
  private static final class Holding {
    double demand;

    /** Share of the last grant. */
    double current;

    /** Largest share that may be in force. */
    double bound;

    /** Grant that lowered the share last. */
    long lowered;

    void confirm(long grant) {
      if (grant >= lowered) {
        bound = current;
      }
    }

    void raise(double least, long number) {
      bound = Math.max(bound, least);
      lowered = number;
    }

    void grant(double share, long number) {
      if (share < current) {
        lowered = number;
      }
      current = share;
      bound = Math.max(bound, share);
    }
  }
}
