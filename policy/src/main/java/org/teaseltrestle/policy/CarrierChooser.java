package org.teaseltrestle.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.teaseltrestle.model.FailureDomain;

/**
 * Chooses the instance that carries an attempt of this one: of a few drawn at random the one with
 * the lowest cost, by the attempts that it carries for this instance, its failure domain, and
 * whether it has accepted one lately. Instances that have refused are left out for a moment.
 * Thread-safe; all times are monotonic.
 */
public final class CarrierChooser {

  private static final int DRAWN_PER_GROUP = 2;
  private static final int OTHER_DOMAIN_COST = 1;
  private static final int UNKNOWN_COST = 2;

  /** Time for which a refusal counts. Asking again costs one message. */
  private static final long REFUSAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** Time for which an acceptance counts. */
  private static final long ACCEPTANCE_NANOS = TimeUnit.SECONDS.toNanos(2);

  private final FailureDomain ownDomain;
  private final Map<String, Known> known = new HashMap<>();
  private List<Carrier> carriers = List.of();

  /**
   * Instance that may carry attempts.
   *
   * @param instance name of the instance
   * @param domain its failure domain
   */
  public record Carrier(String instance, FailureDomain domain) {}

  private static final class Known {
    int carrying;
    long refusedUntilNanos;
    long acceptedUntilNanos;

    Known(long nowNanos) {
      refusedUntilNanos = nowNanos;
      acceptedUntilNanos = nowNanos;
    }
  }

  /** Creates a chooser for an instance of a failure domain, without carriers. */
  public CarrierChooser(FailureDomain ownDomain) {
    this.ownDomain = ownDomain;
  }

  /** Sets the instances that may carry attempts. */
  public synchronized void setCarriers(List<Carrier> instances) {
    carriers = List.copyOf(instances);
    Set<String> names = Set.copyOf(instances.stream().map(Carrier::instance).toList());
    known.entrySet().removeIf(e -> e.getValue().carrying == 0 && !names.contains(e.getKey()));
  }

  /**
   * Returns the instance to ask next, if one is left.
   *
   * @param asked instances that were asked for this attempt already
   * @param excluded failure domains whose instances do not reach the server either
   * @param sample random bits
   */
  public synchronized Optional<Carrier> choose(
      Set<String> asked, Set<FailureDomain> excluded, long sample, long nowNanos) {
    List<Carrier> near = new ArrayList<>();
    List<Carrier> far = new ArrayList<>();
    for (Carrier each : carriers) {
      boolean refused = nowNanos - known(each.instance(), nowNanos).refusedUntilNanos < 0;
      boolean eligible = !asked.contains(each.instance()) && !excluded.contains(each.domain());
      if (!refused && eligible) {
        (each.domain().equals(ownDomain) ? near : far).add(each);
      }
    }
    Carrier best = null;
    long bits = sample;
    for (List<Carrier> group : List.of(near, far)) {
      for (int i = 0; i < DRAWN_PER_GROUP && !group.isEmpty(); i++) {
        Carrier drawn = group.get((int) Long.remainderUnsigned(bits, group.size()));
        bits = Long.rotateRight(bits, 16);
        if (best == null || cost(drawn, nowNanos) < cost(best, nowNanos)) {
          best = drawn;
        }
      }
    }
    return Optional.ofNullable(best);
  }

  /** Records that an instance has accepted an attempt. */
  public synchronized void accepted(String instance, long nowNanos) {
    Known carrier = known(instance, nowNanos);
    carrier.carrying++;
    carrier.acceptedUntilNanos = nowNanos + ACCEPTANCE_NANOS;
    carrier.refusedUntilNanos = nowNanos;
  }

  /** Records that an accepted attempt has ended. */
  public synchronized void ended(String instance, long nowNanos) {
    known(instance, nowNanos).carrying--;
  }

  /** Records that an instance has refused an attempt or did not answer. */
  public synchronized void refused(String instance, long nowNanos) {
    Known carrier = known(instance, nowNanos);
    carrier.refusedUntilNanos = nowNanos + REFUSAL_NANOS;
    carrier.acceptedUntilNanos = nowNanos;
  }

  private Known known(String instance, long nowNanos) {
    return known.computeIfAbsent(instance, name -> new Known(nowNanos));
  }

  private int cost(Carrier carrier, long nowNanos) {
    Known state = known(carrier.instance(), nowNanos);
    boolean accepts = nowNanos - state.acceptedUntilNanos < 0;
    return state.carrying
        + (carrier.domain().equals(ownDomain) ? 0 : OTHER_DOMAIN_COST)
        + (accepts ? 0 : UNKNOWN_COST);
  }
}
