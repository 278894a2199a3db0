package org.teaseltrestle.node.replica;

import static org.testng.Assert.assertEquals;

import java.util.OptionalLong;
import org.testng.annotations.Test;

/** Tests of decisions of the leader. */
public final class LeaderOperationsTest {

  /**
   * Guards against a new leader that has not applied a change yet and acknowledges it because all
   * instances obey the configuration before it.
   */
  @Test
  public void changeThatLeaderHasNotAppliedIsAwaited() {
    assertEquals(LeaderOperations.awaitedIndex(40, 39, 12), OptionalLong.empty());
  }

  /** Guards against a change that is sent again and waits for nothing new, but anew. */
  @Test
  public void changeSentAgainWaitsForTheConfigurationInForce() {
    assertEquals(LeaderOperations.awaitedIndex(40, 40, 12), OptionalLong.of(12));
    assertEquals(LeaderOperations.awaitedIndex(40, 41, 40), OptionalLong.of(40));
  }

  /** Guards against a configuration whose index an earlier version did not record. */
  @Test
  public void changeOfUnknownIndexIsAwaitedItself() {
    assertEquals(LeaderOperations.awaitedIndex(40, 41, 0), OptionalLong.of(40));
  }
}
