package org.teaseltrestle.node.replica;

/**
 * What a follower knows of the committed log: what its parents told it, once the entries that they
 * told about are applied. Any thread may read what is known.
 */
final class FollowerKnowledge {

  /** Written by one duty thread, after the entries have become visible in the view. */
  private volatile KnownState known = KnownState.UNKNOWN;

  /** Earliest news whose entries are not applied yet, if any. */
  private KnownState announced = KnownState.UNKNOWN;

  KnownState known() {
    return known;
  }

  /** Records what a parent knows, after the entries that came with it have been applied. */
  void received(KnownState news, long appliedIndex) {
    applied(appliedIndex);
    if (appliedIndex >= news.index()) {
      known = known.newerOf(news);
    } else if (!announced.isKnown()) {
      announced = news;
    }
  }

  /** Records that entries have been applied. */
  void applied(long appliedIndex) {
    if (appliedIndex >= announced.index()) {
      known = known.newerOf(announced);
      announced = KnownState.UNKNOWN;
    }
  }
}
