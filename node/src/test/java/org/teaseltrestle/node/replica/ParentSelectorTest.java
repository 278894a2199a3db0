package org.teaseltrestle.node.replica;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.LongFunction;
import java.util.function.LongPredicate;
import org.jspecify.annotations.Nullable;
import org.testng.annotations.Test;

/** Tests of the selection of a parent, with the time set by hand. */
public final class ParentSelectorTest {

  private static final DisseminationTreeSettings TREE = DisseminationTreeSettings.FLAT;
  private static final long MILLISECOND = TimeUnit.MILLISECONDS.toNanos(1);
  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
  private static final long CONTACT_NANOS = 3 * SECOND;

  /**
   * A selector and the candidates that answer its questions and send news as its parent. One that
   * tells recent news also passes on the leader's answers to renewals, unless its own messages to
   * the leader are lost.
   */
  private static final class Simulation {

    private static final long STEP_NANOS = 10 * MILLISECOND;

    final ParentSelector selector = new ParentSelector(TREE, 0);
    final Map<String, Integer> questions = new HashMap<>();
    final List<String> parents = new ArrayList<>();
    private final Map<String, LongFunction<@Nullable KnownState>> tells = new HashMap<>();
    private KnownState known = KnownState.UNKNOWN;
    private final Map<String, LongPredicate> losesRenewals = new HashMap<>();
    private long nextParentNewsNanos;
    private long leaderHeardAtNanos;
    private long now;

    /** Sets what a candidate tells at a time; null if it does not answer. */
    Simulation with(String candidate, LongFunction<@Nullable KnownState> told) {
      tells.put(candidate, told);
      return this;
    }

    /** Sets the times at which the renewals that a candidate passes on are lost. */
    Simulation losingRenewals(String candidate, LongPredicate isLost) {
      losesRenewals.put(candidate, isLost);
      return this;
    }

    Simulation preferring(String... candidates) {
      selector.setCandidates(List.of(candidates), List.of());
      return this;
    }

    Simulation preferring(List<String> candidates, List<String> others) {
      selector.setCandidates(candidates, others);
      return this;
    }

    void runUntil(long endNanos) {
      for (; now <= endNanos; now += STEP_NANOS) {
        step();
      }
    }

    private void step() {
      if (now - nextParentNewsNanos >= 0) {
        nextParentNewsNanos = now + SECOND;
        tell(selector.parent());
      }
      ParentSelector.Decision decision = selector.update(4, now);
      if (decision.parentChanged()) {
        parents.add(selector.parent());
      }
      for (String asked : decision.asked()) {
        questions.merge(asked, 1, Integer::sum);
        tell(asked);
      }
    }

    private void tell(String sender) {
      KnownState state = tells.getOrDefault(sender, time -> null).apply(now);
      if (state != null) {
        selector.newsReceived(sender, state, now);
        known = known.newerOf(state);
        boolean recent = !state.isOlderThan(TREE.rootTimeoutNanos(), now);
        if (recent && !losesRenewals.getOrDefault(sender, time -> false).test(now)) {
          leaderHeardAtNanos = now;
          selector.renewalAnswered(sender, now);
        }
      }
    }
  }

  private static @Nullable KnownState gone(long nowNanos) {
    return null;
  }

  private static KnownState recent(long nowNanos) {
    return KnownState.asOf(4, nowNanos);
  }

  private static KnownState unknown(long nowNanos) {
    return KnownState.UNKNOWN;
  }

  private static LongFunction<@Nullable KnownState> until(
      long endNanos,
      LongFunction<@Nullable KnownState> before,
      LongFunction<@Nullable KnownState> after) {
    return now -> (now - endNanos < 0 ? before : after).apply(now);
  }

  /** Guards against a node that stays below a voter which never heard from a leader. */
  @Test
  public void parentThatKnowsNothingIsLeft() {
    Simulation simulation =
        new Simulation()
            .preferring("restarted", "other")
            .with("restarted", until(800 * MILLISECOND, now -> recent(now), now -> unknown(now)))
            .with("other", now -> recent(now));
    simulation.runUntil(700 * MILLISECOND);
    assertEquals(simulation.selector.parent(), "restarted");
    simulation.runUntil(1_300 * MILLISECOND);
    assertEquals(simulation.selector.parent(), "other");
  }

  /** Guards against a good parent that is avoided because it was restarted and soon caught up. */
  @Test
  public void parentThatCatchesUpAfterItsRestartIsKept() {
    ParentSelector selector = new ParentSelector(TREE, 0);
    selector.setCandidates(List.of("restarted", "other"), List.of());
    selector.newsReceived("restarted", KnownState.asOf(4, 0), 0);
    assertTrue(selector.update(4, 0).parentChanged());
    selector.newsReceived("restarted", KnownState.UNKNOWN, 800 * MILLISECOND);
    assertFalse(selector.update(4, 801 * MILLISECOND).parentChanged());
    KnownState caughtUp = KnownState.asOf(5, 900 * MILLISECOND);
    selector.newsReceived("restarted", caughtUp, 950 * MILLISECOND);
    assertFalse(selector.update(5, 1_400 * MILLISECOND).parentChanged());
    assertEquals(selector.parent(), "restarted");
  }

  /** Guards against a node that leaves a stale parent only after its users count it in touch. */
  @Test
  public void parentWithStaleNewsIsLeftBeforeTheContactTimeEnds() {
    Simulation simulation =
        new Simulation()
            .preferring("cut-off", "other")
            .with("cut-off", now -> KnownState.asOf(4, 0))
            .with("other", until(SECOND, now -> gone(now), now -> recent(now)));
    simulation.runUntil(SECOND);
    assertEquals(simulation.selector.parent(), "cut-off");
    simulation.runUntil(CONTACT_NANOS - SECOND);
    assertEquals(simulation.selector.parent(), "other");
  }

  /** Guards against a busy loop over parents none of which has news, and against staying at one. */
  @Test
  public void parentsWithoutNewsAreAskedAtBoundedRate() {
    Simulation simulation = new Simulation().preferring("first", "second", "third");
    for (String each : List.of("first", "second", "third")) {
      simulation.with(each, now -> unknown(now));
    }
    simulation.runUntil(10 * SECOND);
    assertEquals(simulation.questions.size(), 3);
    for (int asked : simulation.questions.values()) {
      assertTrue(asked >= 9 && asked <= 11, asked + " questions in 10 s");
    }
    assertEquals(simulation.parents, List.of());
  }

  /** Guards against a candidate that is passed over while it sends a large state. */
  @Test
  public void candidateThatSendsItsStateGetsTime() {
    ParentSelector selector = new ParentSelector(TREE, 0);
    selector.setCandidates(List.of("first", "second"), List.of());
    assertEquals(selector.update(0, 0).asked(), List.of("first"));
    for (long now = 50 * MILLISECOND; now <= 1_450 * MILLISECOND; now += 200 * MILLISECOND) {
      selector.messageReceived("first", now);
      assertEquals(selector.update(0, now).asked(), List.of("first"));
    }
    selector.newsReceived("first", KnownState.asOf(4, 1_500 * MILLISECOND), 1_500 * MILLISECOND);
    assertTrue(selector.update(4, 1_500 * MILLISECOND).parentChanged());
    assertEquals(selector.parent(), "first");
  }

  /** Guards against a node that leaves a working parent for a preferred one that is gone. */
  @Test
  public void workingParentIsNotLeftForOneThatIsGone() {
    Simulation simulation =
        new Simulation()
            .preferring("gone-1", "gone-2", "working")
            .with("working", now -> recent(now));
    simulation.runUntil(120 * SECOND);
    assertEquals(simulation.parents, List.of("working"));
  }

  /** Guards against a preferred parent that is avoided for long after it has news again. */
  @Test
  public void preferredParentIsTakenAgainOnceItHasNews() {
    Simulation simulation =
        new Simulation()
            .preferring("preferred", "other")
            .with(
                "preferred",
                now -> now >= 5 * SECOND && now < 10 * SECOND ? gone(now) : recent(now))
            .with("other", now -> recent(now));
    simulation.runUntil(10 * SECOND);
    assertEquals(simulation.parents, List.of("preferred", "other"));
    simulation.runUntil(13 * SECOND);
    assertEquals(simulation.parents, List.of("preferred", "other", "preferred"));
  }

  /** Guards against a search that takes longer the more candidates are gone. */
  @Test
  public void knowledgeIsRecentWhileAnyCandidateHasNews() {
    for (int seed = 0; seed < 300; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      String[] names = new String[2 + random.nextInt(7)];
      Arrays.setAll(names, i -> "candidate-" + i);
      Simulation simulation = new Simulation().preferring(names);
      // One state for each candidate and second: 0 gone, 1 knows nothing, 2 and 3 recent.
      int[][] states = new int[names.length][60];
      for (int i = 0; i < names.length; i++) {
        int state = 0;
        for (int second = 0; second < 60; second++) {
          state = random.nextInt(4) == 0 ? random.nextInt(4) : state;
          states[i][second] = state;
        }
        int[] own = states[i];
        simulation.with(names[i], now -> told(own[(int) (now / SECOND)], now));
      }
      for (int second = 3; second < 60; second++) {
        long end = (second + 1) * SECOND - Simulation.STEP_NANOS;
        simulation.runUntil(end);
        int last = second;
        boolean anyUp =
            Arrays.stream(states)
                .anyMatch(own -> own[last] > 1 && own[last - 1] > 1 && own[last - 2] > 1);
        assertTrue(
            !anyUp || !simulation.known.isOlderThan(CONTACT_NANOS, end),
            "seed " + seed + " second " + second);
      }
    }
  }

  private static @Nullable KnownState told(int state, long nowNanos) {
    return switch (state) {
      case 0 -> gone(nowNanos);
      case 1 -> unknown(nowNanos);
      default -> recent(nowNanos);
    };
  }

  /** Tests of candidates that have recent news while the renewals they pass on are lost. */
  public static final class LostRenewals {

    /** Guards against a node that keeps a parent through which the leader hears nothing of it. */
    @Test
    public void parentThatLosesRenewalsIsLeft() {
      Simulation simulation =
          new Simulation()
              .preferring("mute", "other")
              .with("mute", now -> recent(now))
              .with("other", now -> recent(now))
              .losingRenewals("mute", now -> now >= 2 * SECOND);
      simulation.runUntil(2 * SECOND);
      assertEquals(simulation.parents, List.of("mute"));
      simulation.runUntil(4 * SECOND);
      assertEquals(simulation.parents, List.of("mute", "other"));
    }

    /** Guards against a node that alternates between its preferred parent and another one. */
    @Test
    public void preferredParentIsTakenAgainOnceItPassesRenewalsOn() {
      Simulation simulation =
          new Simulation()
              .preferring("mute", "other")
              .with("mute", now -> recent(now))
              .with("other", now -> recent(now))
              .losingRenewals("mute", now -> now >= 2 * SECOND && now < 20 * SECOND);
      simulation.runUntil(20 * SECOND);
      assertEquals(simulation.parents, List.of("mute", "other"));
      simulation.runUntil(23 * SECOND);
      assertEquals(simulation.parents, List.of("mute", "other", "mute"));
    }

    /** Guards against changes of the parent while no leader answers anyone. */
    @Test
    public void parentIsKeptWhileNobodyPassesRenewalsOn() {
      Simulation simulation = new Simulation().preferring("first", "second");
      for (String each : List.of("first", "second")) {
        simulation.with(each, now -> recent(now)).losingRenewals(each, now -> now >= SECOND);
      }
      simulation.runUntil(30 * SECOND);
      assertEquals(simulation.parents, List.of("first"));
    }

    /**
     * Guards against timeouts by which the leader passes over a node that has a path to it. Each
     * candidate loses news or renewals for random spans, and one always passes both on.
     */
    @Test
    public void leaderHearsInTimeOfNodeThatHasAnyPath() {
      for (int seed = 0; seed < 300; seed++) {
        SplittableRandom random = new SplittableRandom(seed);
        String[] names = new String[2 + random.nextInt(7)];
        Arrays.setAll(names, i -> "candidate-" + i);
        Simulation simulation = new Simulation().preferring(names);
        int[] sound = new int[60];
        for (int second = 1; second < sound.length; second++) {
          sound[second] = random.nextInt(8) == 0 ? random.nextInt(names.length) : sound[second - 1];
        }
        for (int i = 0; i < names.length; i++) {
          int candidate = i;
          boolean[] goneAt = spans(random);
          boolean[] muteAt = spans(random);
          simulation.with(
              names[i],
              now -> {
                int second = (int) (now / SECOND);
                boolean gone = goneAt[second] && !isSound(sound, second, candidate);
                return gone ? gone(now) : recent(now);
              });
          simulation.losingRenewals(
              names[i],
              now -> {
                int second = (int) (now / SECOND);
                return muteAt[second] && !isSound(sound, second, candidate);
              });
        }
        for (long end = 0; end < 60 * SECOND; end += 100 * MILLISECOND) {
          simulation.runUntil(end);
          long silence = end - simulation.leaderHeardAtNanos;
          assertTrue(
              silence <= LeaseRenewer.longestSilenceNanos(TREE),
              "seed " + seed + " at " + end / MILLISECOND + " ms: " + silence / MILLISECOND);
        }
      }
    }

    /** A candidate that becomes the sound one is so a little before, as its links heal. */
    private static boolean isSound(int[] sound, int second, int candidate) {
      int last = Math.min(sound.length - 1, second + 3);
      for (int each = second; each <= last; each++) {
        if (sound[each] == candidate) {
          return true;
        }
      }
      return false;
    }

    private static boolean[] spans(SplittableRandom random) {
      boolean[] spans = new boolean[61];
      for (int second = 1; second < spans.length; second++) {
        spans[second] = random.nextInt(4) == 0 ? random.nextBoolean() : spans[second - 1];
      }
      return spans;
    }
  }

  /** Tests of a search in which no candidate has news. */
  public static final class Acquaintances {

    private static final List<String> GONE = List.of("gone-1", "gone-2", "gone-3");
    private static final List<String> OTHERS =
        List.of("other-1", "other-2", "other-3", "other-4", "other-5");

    /** Time in which each of the other nodes has been asked, two in each second. */
    private static final long ALL_ASKED_NANOS = 5 * SECOND;

    /** Guards against a node whose candidates are all gone and that asks nobody else. */
    @Test
    public void anyNodeWithRecentNewsBecomesParent() {
      for (String informed : OTHERS) {
        Simulation simulation =
            new Simulation().preferring(GONE, OTHERS).with(informed, now -> recent(now));
        simulation.runUntil(ALL_ASKED_NANOS);
        assertEquals(simulation.parents, List.of(informed));
      }
    }

    /** Guards against questions to all nodes whenever a leader is replaced. */
    @Test
    public void otherNodesAreAskedSeldomAndNotAtOnce() {
      Simulation simulation = new Simulation().preferring(GONE, OTHERS);
      simulation.runUntil(900 * MILLISECOND);
      assertTrue(simulation.questions.keySet().stream().noneMatch(OTHERS::contains));
      simulation.runUntil(30 * SECOND);
      int asked = OTHERS.stream().mapToInt(each -> simulation.questions.get(each)).sum();
      assertTrue(asked >= 50 && asked <= 60, asked + " questions in 30 s");
    }

    /** Guards against nodes of an isolated failure domain that follow each other. */
    @Test
    public void oldNewsOfAnotherNodeAreNotFollowed() {
      Simulation simulation =
          new Simulation()
              .preferring(List.of("voter"), OTHERS)
              .with("voter", until(SECOND, now -> recent(now), now -> gone(now)))
              .with("other-1", now -> KnownState.asOf(4, SECOND));
      simulation.runUntil(20 * SECOND);
      assertEquals(simulation.parents, List.of("voter"));
    }

    /** Guards against a node that stays below another one when a candidate is back. */
    @Test
    public void candidateWithNewsTakesThePlaceOfAnotherNode() {
      Simulation simulation =
          new Simulation()
              .preferring(List.of("voter"), OTHERS)
              .with("other-1", now -> recent(now))
              .with("voter", until(10 * SECOND, now -> gone(now), now -> recent(now)));
      simulation.runUntil(10 * SECOND);
      assertEquals(simulation.parents, List.of("other-1"));
      simulation.runUntil(13 * SECOND);
      assertEquals(simulation.parents, List.of("other-1", "voter"));
    }
  }
}
