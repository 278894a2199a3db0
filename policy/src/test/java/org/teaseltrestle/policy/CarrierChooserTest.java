package org.teaseltrestle.policy;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.teaseltrestle.model.FailureDomain;
import org.testng.annotations.Test;

/** Tests of {@link CarrierChooser}. */
public final class CarrierChooserTest {

  private static final FailureDomain OWN = new FailureDomain("own");
  private static final FailureDomain OTHER = new FailureDomain("other");
  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

  private final SplittableRandom random = new SplittableRandom(5);

  private static CarrierChooser chooser(int own, int other) {
    CarrierChooser chooser = new CarrierChooser(OWN);
    List<CarrierChooser.Carrier> carriers = new ArrayList<>();
    for (int i = 0; i < own; i++) {
      carriers.add(new CarrierChooser.Carrier("own-" + i, OWN));
    }
    for (int i = 0; i < other; i++) {
      carriers.add(new CarrierChooser.Carrier("other-" + i, OTHER));
    }
    chooser.setCarriers(carriers);
    return chooser;
  }

  private Optional<String> choose(CarrierChooser chooser, Set<String> asked, long now) {
    return chooser
        .choose(asked, Set.of(), random.nextLong(), now)
        .map(CarrierChooser.Carrier::instance);
  }

  /** Guards against attempts that cross failure domains although the own one has room. */
  @Test
  public void ownFailureDomainComesFirst() {
    CarrierChooser chooser = chooser(2, 6);
    for (int i = 0; i < 100; i++) {
      assertTrue(choose(chooser, Set.of(), i).orElseThrow().startsWith("own"));
    }
  }

  /** Guards against one instance that carries everything. */
  @Test
  public void attemptsAreSpreadByLoad() {
    CarrierChooser chooser = chooser(2, 6);
    Map<String, Integer> carried = new HashMap<>();
    for (int i = 0; i < 80; i++) {
      String carrier = choose(chooser, Set.of(), i).orElseThrow();
      chooser.accepted(carrier, i);
      carried.merge(carrier, 1, Integer::sum);
    }
    assertEquals(carried.size(), 8);
    carried.forEach((carrier, count) -> assertTrue(count <= 20, carried.toString()));
  }

  /** Guards against instances without links of their own that are asked for each attempt. */
  @Test
  public void instancesThatRefusedAreLeftOutForMoment() {
    CarrierChooser chooser = chooser(2, 2);
    for (String each : List.of("own-0", "own-1", "other-0")) {
      chooser.refused(each, 0);
    }
    for (int i = 0; i < 50; i++) {
      assertEquals(choose(chooser, Set.of(), 1), Optional.of("other-1"));
    }
    assertTrue(choose(chooser, Set.of(), SECOND).orElseThrow().startsWith("own"));
  }

  /** Guards against an instance that is asked twice for one attempt. */
  @Test
  public void eachInstanceIsAskedOnce() {
    CarrierChooser chooser = chooser(3, 3);
    Set<String> asked = new HashSet<>();
    for (int i = 0; i < 6; i++) {
      assertTrue(asked.add(choose(chooser, asked, 0).orElseThrow()));
    }
    assertEquals(choose(chooser, asked, 0), Optional.empty());
  }

  /** Guards against an instance of a failure domain whose links are lost as a whole. */
  @Test
  public void instancesOfExcludedFailureDomainsAreNotAsked() {
    CarrierChooser chooser = chooser(3, 1);
    for (int i = 0; i < 20; i++) {
      CarrierChooser.Carrier chosen =
          chooser.choose(Set.of(), Set.of(OWN), random.nextLong(), 0).orElseThrow();
      assertEquals(chosen.domain(), OTHER);
    }
    assertEquals(chooser.choose(Set.of(), Set.of(OWN, OTHER), 7, 0), Optional.empty());
  }

  /** Guards against load that is counted for good after its attempts have ended. */
  @Test
  public void endedAttemptsFreeTheirInstance() {
    CarrierChooser chooser = chooser(1, 1);
    for (int i = 0; i < 10; i++) {
      chooser.accepted("own-0", 0);
    }
    assertEquals(choose(chooser, Set.of(), 1), Optional.of("other-0"));
    for (int i = 0; i < 10; i++) {
      chooser.ended("own-0", 1);
    }
    assertEquals(choose(chooser, Set.of(), 2), Optional.of("own-0"));
  }
}
