package org.teaseltrestle.node.replica;

import java.util.concurrent.TimeUnit;

/**
 * Shape and timeouts of the dissemination tree.
 *
 * @param fanOut maximum number of children of each node
 * @param parentTimeoutNanos time without a message after which a node looks for another parent
 * @param rootTimeoutNanos age of the news of a leader above which a node looks for another parent;
 *     each level of the tree adds up to a second to it
 * @param renewalTimeoutNanos age of the latest renewal that the leader answered above which a node
 *     looks for another path to the leader
 */
public record DisseminationTreeSettings(
    int fanOut, long parentTimeoutNanos, long rootTimeoutNanos, long renewalTimeoutNanos) {

  /** A tree of several levels for hundreds of nodes. */
  public static final DisseminationTreeSettings DEEP =
      new DisseminationTreeSettings(
          8, TimeUnit.SECONDS.toNanos(3), TimeUnit.SECONDS.toNanos(8), TimeUnit.SECONDS.toNanos(3));

  /**
   * All nodes of a failure domain directly below one voter. The timeouts are shorter, since no
   * levels in between delay the news.
   */
  public static final DisseminationTreeSettings FLAT =
      new DisseminationTreeSettings(
          256,
          TimeUnit.MILLISECONDS.toNanos(1_500),
          TimeUnit.MILLISECONDS.toNanos(1_500),
          TimeUnit.MILLISECONDS.toNanos(1_500));
}
