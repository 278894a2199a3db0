package org.teaseltrestle.node.replica;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Random;
import java.util.stream.Stream;
import org.testng.annotations.Test;

/** Tests of the bounds on what children have been sent and have not acknowledged. */
public final class FeedWindowTest {

  private static final int WINDOW_BYTES = 100;

  /** Guards against messages for one child that grow without a bound. */
  @Test
  public void windowIsFullUntilMessagesAreAcknowledged() {
    FeedWindow window = new FeedWindow(new FeedBudget(1_000));
    window.sent(10, 60, 0);
    assertTrue(window.hasRoom(40, WINDOW_BYTES));
    assertFalse(window.hasRoom(41, WINDOW_BYTES));
    assertFalse(window.acknowledged(9));
    assertFalse(window.hasRoom(41, WINDOW_BYTES));
    assertTrue(window.acknowledged(10));
    assertTrue(window.hasRoom(100, WINDOW_BYTES));
  }

  /** Guards against a message larger than the window, which could never be sent. */
  @Test
  public void singleMessageOfAnySizeFits() {
    FeedBudget small = new FeedBudget(10);
    FeedWindow window = new FeedWindow(small);
    assertTrue(window.hasRoom(5_000, WINDOW_BYTES));
    assertTrue(small.hasRoom(5_000));
    window.sent(1, 5_000, 0);
    assertFalse(window.hasRoom(1, WINDOW_BYTES));
    assertFalse(small.hasRoom(1));
    window.acknowledged(1);
    assertTrue(window.hasRoom(5_000, WINDOW_BYTES));
    assertEquals(small.used(), 0);
  }

  /** Guards against a later acknowledgement that leaves earlier messages counted. */
  @Test
  public void acknowledgementCoversAllEarlierMessages() {
    FeedBudget budget = new FeedBudget(250);
    FeedWindow window = new FeedWindow(budget);
    window.sent(3, 10, 0);
    window.sent(5, 20, 0);
    window.sent(9, 30, 0);
    assertTrue(window.acknowledged(7));
    assertEquals(budget.used(), 30);
    assertFalse(window.acknowledged(7));
    assertTrue(window.acknowledged(100));
    assertEquals(budget.used(), 0);
  }

  /** Guards against children that are each within their window and together fill the memory. */
  @Test
  public void budgetBoundsAllChildrenTogether() {
    FeedBudget budget = new FeedBudget(250);
    List<FeedWindow> windows = Stream.generate(() -> new FeedWindow(budget)).limit(3).toList();
    windows.forEach(window -> window.sent(1, 80, 0));
    assertTrue(windows.stream().allMatch(window -> window.hasRoom(20, WINDOW_BYTES)));
    assertFalse(budget.hasRoom(20));
    windows.get(1).clear();
    assertTrue(budget.hasRoom(90));
    assertFalse(budget.hasRoom(91));
    windows.forEach(FeedWindow::clear);
    assertEquals(budget.used(), 0);
  }

  /** Guards against bytes that are released twice or never, so that the budget drifts. */
  @Test
  public void budgetIsTheSumOfTheWindows() {
    Random random = new Random(81);
    FeedBudget shared = new FeedBudget(Long.MAX_VALUE);
    List<FeedWindow> windows = Stream.generate(() -> new FeedWindow(shared)).limit(5).toList();
    long[] sentPositions = new long[5];
    for (int i = 0; i < 10_000; i++) {
      int child = random.nextInt(5);
      FeedWindow window = windows.get(child);
      switch (random.nextInt(8)) {
        case 0 -> window.clear();
        case 1, 2 -> window.acknowledged(sentPositions[child] - random.nextInt(4));
        default -> window.sent(++sentPositions[child], random.nextInt(1_000), 0);
      }
      assertTrue(shared.used() >= 0, shared.used() + " bytes");
    }
    for (int child = 0; child < 5; child++) {
      windows.get(child).acknowledged(sentPositions[child]);
    }
    assertEquals(shared.used(), 0);
    windows.forEach(FeedWindow::clear);
    assertEquals(shared.used(), 0);
  }

  /**
   * Guards against children that receive nothing and go on renewing: their messages must not keep
   * the log from others for good.
   */
  @Test
  public void overdueMessagesCountForTheirChildOnly() {
    FeedBudget budget = new FeedBudget(250);
    FeedWindow window = new FeedWindow(budget);
    long second = 1_000_000_000L;
    window.sent(1, 60, 0);
    window.sent(2, 40, second);
    window.releaseOverdue(2 * second);
    assertEquals(budget.used(), 40);
    window.releaseOverdue(2 * second);
    assertEquals(budget.used(), 40);
    assertFalse(window.hasRoom(1, WINDOW_BYTES));
    window.clear();
    assertEquals(budget.used(), 0);
  }
}
