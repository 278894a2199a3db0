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

  /** Age up to which an answer excuses a part while another part of the request has none. */
  private static final long EXCUSE_NANOS = TimeUnit.SECONDS.toNanos(10);

  /**
   * Age up to which an answer clears a part that other instances suspect; a part that was sound
   * before, such as under older weights, is suspected at the latest after this time.
   */
  private static final long CLEARING_NANOS = TimeUnit.SECONDS.toNanos(2);

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

  /** Returns the parts of a lost request that may have caused the loss: all, if each is excused. */
  List<Long> suspects(List<Long> parts, long nowNanos) {
    List<Long> unexcused =
        parts.stream().filter(part -> !isAnsweredWithin(EXCUSE_NANOS, part, nowNanos)).toList();
    return unexcused.isEmpty() ? parts : unexcused;
  }

  /** Returns whether a part was answered so recently that the losses of others do not count. */
  boolean clears(Long part, long nowNanos) {
    return isAnsweredWithin(CLEARING_NANOS, part, nowNanos);
  }

  private boolean isAnsweredWithin(long ageNanos, Long part, long nowNanos) {
    Long answeredAt = answeredAtNanos.get(part);
    return answeredAt != null && nowNanos - answeredAt <= ageNanos;
  }
}
