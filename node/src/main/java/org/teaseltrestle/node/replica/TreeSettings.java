package org.teaseltrestle.node.replica;

import java.util.concurrent.TimeUnit;

/**
 * Shape and timeouts of the dissemination tree.
 *
 * @param fanOut children of each node
 * @param parentSilenceNanos silence after which a node leaves its parent
 * @param rootSilenceNanos time without news of a leader after which a node leaves its parent; each
 *     level of the tree adds up to a second to the age of the news
 */
public record TreeSettings(int fanOut, long parentSilenceNanos, long rootSilenceNanos) {

  /** A tree of several levels for hundreds of nodes. */
  public static final TreeSettings DEEP =
      new TreeSettings(8, TimeUnit.SECONDS.toNanos(3), TimeUnit.SECONDS.toNanos(8));

  /** All nodes of a failure domain below one voter; left sooner, since the news is never old. */
  public static final TreeSettings FLAT =
      new TreeSettings(
          256, TimeUnit.MILLISECONDS.toNanos(1_800), TimeUnit.MILLISECONDS.toNanos(2_800));
}
