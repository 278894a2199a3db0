package org.teaseltrestle.testkit.trace;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/** Makes a seeded trace of a workload; the same seed gives the same trace. */
public final class TraceMaker {

  private static final double MILLIS_PER_SECOND = 1000;

  /** Share of the changing calls that are sent again, as callers do after a lost answer. */
  private static final double RESENT_SHARE = 0.15;

  /** Delay until a call is sent again; the first one has long been answered by then. */
  private static final long RESEND_MILLIS = 1500;

  /** Every so many requests, one that must be refused is added. */
  private static final int REFUSED_EVERY = 60;

  private static final double READ_SHARE = 0.6;
  private static final double OPEN_SHARE = 0.1;

  private final Workload workload;
  private final SplittableRandom random;
  private final long seed;
  private final List<TraceEntry> entries = new ArrayList<>();

  private TraceMaker(Workload workload, long seed) {
    this.workload = workload;
    this.seed = seed;
    this.random = new SplittableRandom(seed);
  }

  /**
   * Makes a trace.
   *
   * @param timeScale factor on all times; 0.5 sends twice as fast
   */
  public static List<TraceEntry> make(
      Workload workload, long seed, double seconds, double timeScale) {
    return new TraceMaker(workload, seed).run(seconds, timeScale);
  }

  private List<TraceEntry> run(double seconds, double timeScale) {
    double now = 0;
    while (true) {
      now += -Math.log(1 - random.nextDouble()) / workload.requestsPerSecond();
      if (now >= seconds) {
        break;
      }
      add(now);
    }
    return entries.stream()
        .map(entry -> entry.at(Math.round(entry.atMillis() * timeScale)))
        .sorted(Comparator.comparingLong(TraceEntry::atMillis))
        .toList();
  }

  private void add(double now) {
    long atMillis = Math.round(now * MILLIS_PER_SECOND);
    if (entries.size() % REFUSED_EVERY == REFUSED_EVERY - 1) {
      TraceEntry unknown = TraceEntry.chat(atMillis, account(), "no-such-model", 10, 4, null, 0);
      entries.add(unknown.expecting("refused:unknown_model"));
    } else if (random.nextDouble() < workload.serviceShare()) {
      addCall(atMillis);
    } else {
      entries.add(modelRequest(atMillis, phase(now)));
    }
  }

  private void addCall(long atMillis) {
    if (random.nextDouble() < READ_SHARE) {
      boolean open = random.nextDouble() < OPEN_SHARE;
      String path = open ? "/opening-hours" : workload.readRoute();
      entries.add(
          TraceEntry.call(
              atMillis, open ? null : account(), workload.service(), "GET", path, null, null));
      return;
    }
    String id = workload.service() + "-" + seed + "-" + entries.size();
    String body = "{\"order\": \"" + id + "\", \"pieces\": " + random.nextInt(1, 90) + "}";
    TraceEntry change =
        TraceEntry.call(
            atMillis, account(), workload.service(), "POST", workload.changeRoute(), body, id);
    entries.add(change);
    if (random.nextDouble() < RESENT_SHARE) {
      entries.add(change.at(atMillis + RESEND_MILLIS));
    }
  }

  private TraceEntry modelRequest(long atMillis, Workload.Phase phase) {
    int prompt = random.nextInt(phase.promptLow(), phase.promptHigh() + 1);
    int output = random.nextInt(phase.outputLow(), phase.outputHigh() + 1);
    String group = workload.model() + "-lot-" + random.nextInt(phase.groups());
    int shared = (int) (phase.promptLow() * phase.sharedPart());
    return TraceEntry.chat(atMillis, account(), workload.model(), prompt, output, group, shared)
        .expecting(workload.expect());
  }

  private Workload.Phase phase(double now) {
    double cycle = workload.phases().stream().mapToDouble(Workload.Phase::seconds).sum();
    double within = now % cycle;
    for (Workload.Phase phase : workload.phases()) {
      within -= phase.seconds();
      if (within < 0) {
        return phase;
      }
    }
    return workload.phases().get(0);
  }

  /** The first account sends the heavy share; the others share the rest, falling by rank. */
  private String account() {
    List<String> accounts = workload.accounts();
    if (random.nextDouble() < workload.heavyShare()) {
      return accounts.get(0);
    }
    int first = random.nextInt(1, accounts.size());
    int second = random.nextInt(1, accounts.size());
    return accounts.get(Math.min(first, second));
  }
}
