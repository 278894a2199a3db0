package org.teaseltrestle.policy;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Remembers when requests with a prompt part were last answered here. A part that crashes servers
 * is never answered, so the answers of the last seconds tell the sound parts of a lost request from
 * the one that may have caused the loss.
 */
final class AnsweredParts {

  /** Maximum number of parts; the ones answered longest ago are forgotten. */
  static final int CAPACITY = 4_096;

  /**
   * Age up to which an answer rules a part out as the cause of a loss, while another part of the
   * request is not ruled out.
   */
  private static final long RULING_OUT_AGE_NANOS = TimeUnit.SECONDS.toNanos(10);

  /**
   * Age up to which an answer clears a part that other instances suspect. It is short, since a part
   * may start to crash servers, for example under new weights.
   */
  private static final long CLEARING_AGE_NANOS = TimeUnit.SECONDS.toNanos(2);

  private final Map<Long, Long> answeredAtNanos = new LinkedHashMap<>();

  /** Records that a request with these parts was answered. */
  void record(List<Long> parts, long nowNanos) {
    // Requests share their first parts, so these are added last and forgotten last.
    for (int i = parts.size() - 1; i >= 0; i--) {
      answeredAtNanos.remove(parts.get(i));
      answeredAtNanos.put(parts.get(i), nowNanos);
    }
    Iterator<Long> oldest = answeredAtNanos.keySet().iterator();
    while (answeredAtNanos.size() > CAPACITY) {
      oldest.next();
      oldest.remove();
    }
  }

  /**
   * Returns the parts of a lost request that may have caused the loss: those without a recent
   * answer, or all if each has one.
   */
  List<Long> suspects(List<Long> parts, long nowNanos) {
    List<Long> unanswered =
        parts.stream()
            .filter(part -> !isAnsweredWithin(RULING_OUT_AGE_NANOS, part, nowNanos))
            .toList();
    return unanswered.isEmpty() ? parts : unanswered;
  }

  /** Returns whether a part was answered so recently that the losses of others do not count. */
  boolean clears(Long part, long nowNanos) {
    return isAnsweredWithin(CLEARING_AGE_NANOS, part, nowNanos);
  }

  private boolean isAnsweredWithin(long ageNanos, Long part, long nowNanos) {
    Long answeredAt = answeredAtNanos.get(part);
    return answeredAt != null && nowNanos - answeredAt <= ageNanos;
  }
}
