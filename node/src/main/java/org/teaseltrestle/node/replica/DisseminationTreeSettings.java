package org.teaseltrestle.node.replica;

import java.util.concurrent.TimeUnit;

/**
 * Shape and timeouts of the dissemination tree.
 *
 * @param fanOut maximum number of children of each node
 * @param newsIntervalNanos longest time between two news of a leader while nothing fails
 * @param parentTimeoutNanos time without a message after which a node changes its parent
 * @param rootTimeoutNanos time without news of a leader after which a node changes its parent; each
 *     level of the tree adds up to a second to the age of the news
 */
public record DisseminationTreeSettings(
    int fanOut, long newsIntervalNanos, long parentTimeoutNanos, long rootTimeoutNanos) {

  /** A tree of several levels for hundreds of nodes. */
  public static final DisseminationTreeSettings DEEP =
      new DisseminationTreeSettings(
          8, TimeUnit.SECONDS.toNanos(5), TimeUnit.SECONDS.toNanos(3), TimeUnit.SECONDS.toNanos(8));

  /**
   * All nodes of a failure domain directly below one voter. The timeouts are shorter, since no
   * levels in between delay the news.
   */
  public static final DisseminationTreeSettings FLAT =
      new DisseminationTreeSettings(
          256,
          TimeUnit.MILLISECONDS.toNanos(1_500),
          TimeUnit.MILLISECONDS.toNanos(1_800),
          TimeUnit.MILLISECONDS.toNanos(2_800));
}
