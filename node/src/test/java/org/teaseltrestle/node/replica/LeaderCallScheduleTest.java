package org.teaseltrestle.node.replica;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** Tests of where and when calls to the leader are sent. */
public final class LeaderCallScheduleTest {

  private static final long MILLISECOND = TimeUnit.MILLISECONDS.toNanos(1);

  private final LeaderCallSchedule schedule =
      new LeaderCallSchedule(() -> List.of("gone", "voter-1", "voter-2"));

  private static KnownLeader leader(String instance, long term, long asOfNanos) {
    return new KnownLeader(instance, term, asOfNanos);
  }

  /** Tests of a leader that is heard of while calls are open. */
  public static final class News {

    /** Guards against a call that waits for a voter that is gone although a leader is known. */
    @Test
    public void callLeavesGoneVoterForLeader() {
      LeaderCallSchedule schedule = new LeaderCallScheduleTest().schedule;
      assertEquals(schedule.open(1, true).target(), "gone");
      List<LeaderCallSchedule.Attempt> attempts = schedule.heard(leader("voter-2", 3, 0));
      assertEquals(attempts, List.of(new LeaderCallSchedule.Attempt(1, 2, "voter-2")));
    }

    /** Guards against a call that waits out its delay although a leader is known. */
    @Test
    public void callLeavesItsDelayForLeader() {
      LeaderCallSchedule schedule = new LeaderCallScheduleTest().schedule;
      LeaderCallSchedule.Attempt first = schedule.open(1, true);
      schedule.failed(first, 0);
      assertEquals(schedule.heard(leader("voter-2", 3, 0)).size(), 1);
      assertEquals(schedule.retry(first), Optional.empty());
    }

    /** Guards against a second attempt at a leader that is being asked. */
    @Test
    public void callAtTheLeaderIsNotRepeated() {
      LeaderCallSchedule schedule = new LeaderCallScheduleTest().schedule;
      schedule.heard(leader("voter-2", 3, 0));
      assertEquals(schedule.open(1, true).target(), "voter-2");
      assertEquals(schedule.heard(leader("voter-2", 4, MILLISECOND)), List.of());
    }

    /** Guards against news of an earlier leader that overwrites a later one. */
    @Test
    public void earlierLeaderChangesNothing() {
      LeaderCallSchedule schedule = new LeaderCallScheduleTest().schedule;
      schedule.heard(leader("voter-2", 3, 0));
      assertEquals(schedule.heard(leader("voter-1", 2, 9 * MILLISECOND)), List.of());
      assertEquals(schedule.open(1, true).target(), "voter-2");
    }

    /** Guards against a leader that refuses and is asked again with every feed. */
    @Test
    public void refusingLeaderIsAskedAtTheRateOfTheDelays() {
      LeaderCallSchedule schedule = new LeaderCallScheduleTest().schedule;
      LeaderCallSchedule.Attempt attempt = schedule.open(1, true);
      int attempts = 0;
      OptionalLong retryAtNanos = OptionalLong.empty();
      for (int millisecond = 1; millisecond <= 2_000; millisecond++) {
        long now = millisecond * MILLISECOND;
        List<LeaderCallSchedule.Attempt> sent = schedule.heard(leader("voter-2", 3, now));
        if (!sent.isEmpty()) {
          attempt = sent.get(0);
          attempts++;
          retryAtNanos = schedule.failed(attempt, now);
        } else if (retryAtNanos.isPresent() && now - retryAtNanos.getAsLong() >= 0) {
          attempt = schedule.retry(attempt).get();
          assertEquals(attempt.target(), "voter-2");
          attempts++;
          retryAtNanos = schedule.failed(attempt, now);
        }
      }
      assertTrue(attempts <= 8, attempts + " attempts in two seconds");
    }

    /** Guards against a leader that failed and is asked again because of news before that. */
    @Test
    public void leaderThatFailedIsAskedAgainAfterLaterNewsOnly() {
      LeaderCallSchedule schedule = new LeaderCallScheduleTest().schedule;
      schedule.heard(leader("voter-2", 3, 0));
      LeaderCallSchedule.Attempt first = schedule.open(1, true);
      schedule.failed(first, 10 * MILLISECOND);
      schedule.heard(leader("voter-2", 3, 9 * MILLISECOND));
      LeaderCallSchedule.Attempt second = schedule.retry(first).get();
      assertEquals(second.target(), "voter-1");
      schedule.failed(second, 20 * MILLISECOND);
      schedule.heard(leader("voter-2", 3, 11 * MILLISECOND));
      assertEquals(schedule.retry(second).get().target(), "voter-2");
    }
  }

  /** Tests of outcomes of attempts. */
  public static final class Outcomes {

    /** Guards against an outdated voter whose word counts more than later news of the leader. */
    @Test
    public void laterNewsCountsMoreThanNameByOutdatedVoter() {
      LeaderCallSchedule schedule = new LeaderCallScheduleTest().schedule;
      schedule.heard(leader("voter-2", 3, 0));
      LeaderCallSchedule.Attempt first = schedule.open(1, true);
      schedule.failed(first, 10 * MILLISECOND);
      LeaderCallSchedule.Attempt second = schedule.retry(first).get();
      assertEquals(second.target(), "voter-1");
      schedule.redirected(second, "gone", 70 * MILLISECOND);
      schedule.heard(leader("voter-2", 3, 90 * MILLISECOND));
      assertEquals(schedule.retry(second).get().target(), "voter-2");
    }

    /** Guards against a late failure that disturbs the attempt at the leader. */
    @Test
    public void lateFailureIsIgnored() {
      LeaderCallSchedule schedule = new LeaderCallScheduleTest().schedule;
      LeaderCallSchedule.Attempt first = schedule.open(1, false);
      final LeaderCallSchedule.Attempt second = schedule.heard(leader("voter-2", 3, 0)).get(0);
      assertEquals(schedule.failed(first, 0), OptionalLong.empty());
      assertEquals(schedule.redirected(first, "voter-1", 0), OptionalLong.empty());
      assertFalse(schedule.closeIfNeverStarted(first));
      assertTrue(schedule.closeIfNeverStarted(second));
      assertEquals(schedule.open(2, true).target(), "voter-2");
    }

    /** Guards against a named leader that is asked late. */
    @Test
    public void namedLeaderIsAskedSoon() {
      LeaderCallSchedule schedule = new LeaderCallScheduleTest().schedule;
      LeaderCallSchedule.Attempt first = schedule.open(1, true);
      assertEquals(schedule.redirected(first, "voter-2", 0), OptionalLong.of(50 * MILLISECOND));
      assertEquals(schedule.retry(first).get().target(), "voter-2");
    }

    /** Guards against two instances that name each other and are asked in a busy loop. */
    @Test
    public void mutualNamingIsBounded() {
      LeaderCallSchedule schedule = new LeaderCallScheduleTest().schedule;
      LeaderCallSchedule.Attempt attempt = schedule.open(1, true);
      long now = 0;
      int attempts = 0;
      while (now < 2_000 * MILLISECOND) {
        String other = attempt.target().equals("voter-1") ? "voter-2" : "voter-1";
        now = schedule.redirected(attempt, other, now).getAsLong();
        attempt = schedule.retry(attempt).get();
        attempts++;
      }
      assertTrue(attempts <= 8, attempts + " attempts in two seconds");
    }

    /** Guards against closed calls that are sent to each new leader. */
    @Test
    public void closedCallIsNotSent() {
      LeaderCallSchedule schedule = new LeaderCallScheduleTest().schedule;
      LeaderCallSchedule.Attempt first = schedule.open(1, true);
      schedule.close(1);
      assertEquals(schedule.heard(leader("voter-2", 3, 0)), List.of());
      assertEquals(schedule.failed(first, 0), OptionalLong.empty());
    }
  }

  /** Tests of leaders that reject an attempt. */
  public static final class Rejections {

    /**
     * Guards against a rejection that is reported while an attempt at a new leader is under way.
     */
    @Test
    public void callWithAnAttemptAtNewLeaderGoesOn() {
      LeaderCallSchedule schedule = new LeaderCallScheduleTest().schedule;
      LeaderCallSchedule.Attempt first = schedule.open(1, true);
      assertEquals(schedule.heard(leader("voter-2", 3, 0)).size(), 1);
      schedule.neverStarted(first);
      assertFalse(schedule.closeIfNeverStarted(first));
    }

    /** Guards against a leader that is taken for lost since it rejects a command. */
    @Test
    public void rejectingLeaderStaysKnown() {
      LeaderCallSchedule schedule = new LeaderCallScheduleTest().schedule;
      schedule.open(1, true);
      LeaderCallSchedule.Attempt second = schedule.heard(leader("voter-2", 3, 0)).get(0);
      schedule.neverStarted(second);
      assertFalse(schedule.closeIfNeverStarted(second));
      assertEquals(
          schedule.rejected(second, 0).orElseThrow(),
          LeaderCallSchedule.retryDelayMilliseconds(Integer.MAX_VALUE) * MILLISECOND);
      assertEquals(schedule.retry(second).orElseThrow().target(), "voter-2");
    }

    /** Guards against a rejected read that goes on, though it cannot take effect. */
    @Test
    public void rejectedReadEndsWhateverWasAskedBefore() {
      LeaderCallSchedule schedule = new LeaderCallScheduleTest().schedule;
      schedule.open(1, false);
      LeaderCallSchedule.Attempt second = schedule.heard(leader("voter-2", 3, 0)).get(0);
      schedule.neverStarted(second);
      assertTrue(schedule.closeIfNeverStarted(second));
    }
  }
}
