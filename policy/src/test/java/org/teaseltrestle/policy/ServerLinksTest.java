package org.teaseltrestle.policy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.util.concurrent.TimeUnit;
import org.teaseltrestle.policy.ServerLinks.Finding;
import org.teaseltrestle.policy.ServerLinks.Path;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of {@link ServerLinks}. */
public final class ServerLinksTest {

  private static final long MILLISECOND = TimeUnit.MILLISECONDS.toNanos(1);
  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

  /** Times of the clock may be negative. */
  private static final long START = -SECOND;

  private ServerLinks links = new ServerLinks();

  /** Starts with sound links to three servers that were called a moment ago. */
  @BeforeMethod
  public void start() {
    links = new ServerLinks();
    for (String server : new String[] {"server-1", "server-2", "server-3"}) {
      links.connected(server, START);
    }
  }

  private void lose() {
    links.failed("server-1", START + 1);
    assertTrue(links.failed("server-2", START + 2));
  }

  /** Guards against a node that goes on without links until its callers are refused. */
  @Test
  public void failuresOfSeveralServersLoseTheLinks() {
    assertFalse(links.failed("server-1", START + 1));
    assertEquals(links.nextPath(), Path.OWN);
    assertTrue(links.failed("server-2", START + 2));
    assertEquals(links.nextPath(), Path.CARRIED);
    assertTrue(links.areLost());
  }

  /** Guards against one lost server that is taken for a lost network. */
  @Test
  public void failuresOfOneServerKeepTheLinks() {
    for (int i = 1; i <= 50; i++) {
      assertFalse(links.failed("server-1", START + i));
    }
    assertEquals(links.nextPath(), Path.OWN);
  }

  /** Guards against servers that fail now and then and are taken for a lost network. */
  @Test
  public void successInBetweenKeepsTheLinks() {
    for (int i = 1; i <= 50; i++) {
      assertFalse(links.failed("server-" + (i % 2), START + 2 * i));
      links.connected("server-3", START + 2 * i + 1);
    }
    assertEquals(links.nextPath(), Path.OWN);
  }

  /** Guards against failures that are far apart and add up. */
  @Test
  public void oldFailuresAreForgotten() {
    links.failed("server-1", START + 1);
    links.connected("server-3", START + 1);
    assertFalse(links.failed("server-1", START + 2));
    long later = START + 10 * SECOND;
    links.connected("server-3", later);
    assertFalse(links.failed("server-2", later + 1));
  }

  /** Guards against a fleet of one server whose lost link is never noticed. */
  @Test
  public void singleServerIsEnoughIfNoOtherWasCalled() {
    ServerLinks single = new ServerLinks();
    single.connected("only", START);
    assertTrue(single.failed("only", START + 1));
  }

  /** Guards against attempts that are carried in vain when the servers themselves are gone. */
  @Test
  public void serversThatOthersDoNotReachEitherEndTheLoss() {
    lose();
    assertFalse(links.unreachableForOther("server-1", START + 3));
    assertTrue(links.unreachableForOther("server-2", START + 4));
    assertEquals(links.nextPath(), Path.OWN);
  }

  /** Guards against a server that is gone and ends the carrying of attempts at the others. */
  @Test
  public void oneServerThatOthersDoNotReachKeepsTheLoss() {
    lose();
    for (int i = 3; i < 20; i++) {
      assertFalse(links.unreachableForOther("server-1", START + i));
      links.reachedByOther();
    }
    assertEquals(links.nextPath(), Path.CARRIED);
  }

  /** Guards against trials that come with each request. */
  @Test
  public void lostLinksAreTriedAtBoundedRate() {
    lose();
    int trials = 0;
    for (long now = START + 3; now < START + 5 * SECOND; now += 10 * MILLISECOND) {
      trials += links.takeTrial(now) ? 1 : 0;
    }
    assertEquals(trials, 9);
  }

  /** Guards against all attempts that return at once to links that have barely healed. */
  @Test
  public void healedLinksAreUsedGradually() {
    lose();
    links.trialSucceeded();
    int own = 0;
    for (int i = 0; i < 8; i++) {
      own += links.nextPath() == Path.OWN ? 1 : 0;
    }
    assertEquals(own, 1);
    boolean sound = false;
    for (int i = 0; i < 12 && !sound; i++) {
      sound = links.connected("server-1", START + SECOND + i);
    }
    assertTrue(sound);
    for (int i = 0; i < 8; i++) {
      assertEquals(links.nextPath(), Path.OWN);
    }
  }

  /** Guards against links that fail again while they heal and stay in use. */
  @Test
  public void failuresWhileHealingLoseTheLinksAgain() {
    lose();
    links.trialSucceeded();
    assertFalse(links.failed("server-3", START + SECOND));
    assertTrue(links.failed("server-1", START + SECOND));
    assertEquals(links.nextPath(), Path.CARRIED);
  }

  /** Guards against attempts that are carried on while own connections succeed. */
  @Test
  public void ownConnectionEndsTheLoss() {
    lose();
    links.connected("server-3", START + SECOND);
    assertEquals(links.nextPath(), Path.OWN);
  }

  /** Guards against a failure domain that is cut off and taken for the loss of all links. */
  @Test
  public void failuresOfTheLesserPartOfTheServersKeepTheLinks() {
    for (int i = 4; i <= 9; i++) {
      links.connected("server-" + i, START);
    }
    for (int i = 1; i <= 4; i++) {
      assertFalse(links.failed("server-" + i, START + i));
    }
    assertTrue(links.failed("server-5", START + 5));
  }

  /** Links on which connections are not made in time although something arrives. */
  public static final class FullLinks {

    private static final long TIMEOUT = 300 * MILLISECOND;

    private ServerLinks links = new ServerLinks();

    /** Starts with sound links to three servers that were called a moment ago. */
    @BeforeMethod
    public void start() {
      links = new ServerLinks();
      for (String server : new String[] {"server-1", "server-2", "server-3"}) {
        links.connected(server, START);
      }
    }

    private Finding timeOut(String server, long nowNanos) {
      return links.timedOut(server, nowNanos - TIMEOUT, nowNanos);
    }

    /** Guards against full links that are taken for lost, so that neighbours are asked in vain. */
    @Test
    public void timeoutsWhileResponsesArriveKeepTheLinks() {
      for (int i = 0; i < 50; i++) {
        long now = START + SECOND + 50L * i * MILLISECOND;
        links.arrived(now - TIMEOUT + 1);
        assertNotEquals(timeOut("server-" + (1 + i % 3), now), Finding.LOST);
        assertEquals(links.nextPath(), Path.OWN);
      }
      assertFalse(links.areLost());
    }

    /** Guards against links that hang and are taken for full ones. */
    @Test
    public void timeoutsInSilenceLoseTheLinks() {
      long now = START + SECOND;
      links.arrived(now - TIMEOUT - 1);
      assertEquals(timeOut("server-1", now), Finding.NOTHING);
      assertEquals(timeOut("server-2", now), Finding.LOST);
      assertEquals(links.nextPath(), Path.CARRIED);
    }

    /** Guards against timeouts before and after an arrival that add up. */
    @Test
    public void arrivalVoidsEarlierTimeouts() {
      long now = START + SECOND;
      assertEquals(timeOut("server-1", now), Finding.NOTHING);
      links.arrived(now + 1);
      assertNotEquals(timeOut("server-2", now + TIMEOUT + 2), Finding.LOST);
      assertEquals(timeOut("server-3", now + TIMEOUT + 3), Finding.LOST);
    }

    /** Guards against a connection that is made during others' timeouts and proves nothing. */
    @Test
    public void connectionDuringTheTimeoutsKeepsTheLinks() {
      long now = START + SECOND;
      links.connected("server-3", now - TIMEOUT / 2);
      assertNotEquals(timeOut("server-1", now), Finding.LOST);
      assertNotEquals(timeOut("server-2", now), Finding.LOST);
      assertEquals(links.nextPath(), Path.OWN);
    }

    /** Guards against a node that goes on without links because earlier streams live on. */
    @Test
    public void refusedConnectionsLoseTheLinksAlthoughStreamsLiveOn() {
      links.arrived(START + 1);
      links.failed("server-1", START + 2);
      links.arrived(START + 3);
      assertTrue(links.failed("server-2", START + 4));
      assertFalse(links.arrived(START + 5));
      assertEquals(links.nextPath(), Path.CARRIED);
    }

    /** Guards against links that were full for a moment and count as lost while they carry. */
    @Test
    public void arrivalEndsTheLossThatSilenceShowed() {
      long now = START + SECOND;
      timeOut("server-1", now);
      timeOut("server-2", now);
      assertTrue(links.areLost());
      assertTrue(links.arrived(now + 1));
      assertFalse(links.areLost());
      assertEquals(links.nextPath(), Path.OWN);
      assertEquals(links.nextPath(), Path.CARRIED);
    }

    /** Guards against full links that are asked to carry the attempts of others. */
    @Test
    public void fullLinksAreKnownUntilConnectionIsMade() {
      long now = START + SECOND;
      links.arrived(now);
      assertEquals(timeOut("server-1", now), Finding.NOTHING);
      assertFalse(links.areFull(now));
      assertEquals(timeOut("server-2", now), Finding.FULL);
      assertEquals(timeOut("server-3", now), Finding.NOTHING);
      assertTrue(links.areFull(now));
      links.connected("server-3", now + 1);
      assertFalse(links.areFull(now + 1));
    }

    /** Guards against links that count as full long after they were. */
    @Test
    public void fullLinksAreForgotten() {
      long now = START + SECOND;
      links.arrived(now);
      timeOut("server-1", now);
      timeOut("server-2", now);
      assertTrue(links.areFull(now + SECOND));
      assertFalse(links.areFull(now + 3 * SECOND));
    }
  }
}
