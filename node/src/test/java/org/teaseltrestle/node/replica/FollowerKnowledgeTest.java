package org.teaseltrestle.node.replica;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

/** Tests of what a follower knows, with ages set by hand. */
public final class FollowerKnowledgeTest {

  private static final KnownState FIRST = KnownState.asOf(10, 100);
  private static final KnownState SECOND = KnownState.asOf(20, 200);

  /** Guards against a follower that counts as fresh although entries are missing. */
  @Test
  public void newsCountsOnceItsEntriesAreApplied() {
    FollowerKnowledge follower = new FollowerKnowledge();
    follower.received(FIRST, 9);
    assertEquals(follower.known(), KnownState.UNKNOWN);
    // While entries arrive in parts, the parent goes on.
    follower.received(SECOND, 12);
    assertEquals(follower.known(), FIRST);
    follower.received(KnownState.asOf(21, 300), 21);
    assertEquals(follower.known(), KnownState.asOf(21, 300));
  }

  /** Guards against a restored state that counts as newer than the news that it belongs to. */
  @Test
  public void restoredStateIsAsOldAsTheNewsBefore() {
    FollowerKnowledge follower = new FollowerKnowledge();
    follower.applied(30);
    assertEquals(follower.known(), KnownState.UNKNOWN);
    follower.received(KnownState.asOf(40, 100), 30);
    follower.applied(45);
    assertEquals(follower.known(), KnownState.asOf(40, 100));
  }

  /** Guards against a parent without news that takes away what the node knows. */
  @Test
  public void unknownChangesNothing() {
    FollowerKnowledge follower = new FollowerKnowledge();
    follower.received(FIRST, 10);
    follower.received(KnownState.UNKNOWN, 10);
    assertEquals(follower.known(), FIRST);
  }
}
