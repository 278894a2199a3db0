package org.teaseltrestle.testkit.command;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.teaseltrestle.model.TrestleException;
import org.teaseltrestle.testkit.cluster.Folders;
import org.teaseltrestle.testkit.soak.SoakPlan;
import org.teaseltrestle.testkit.soak.SoakResult;
import org.teaseltrestle.testkit.soak.SoakRun;

/** Runs seeded fault schedules against node processes; exits with 1 if a seed failed. */
@Command(
    name = "soak",
    description = "Injects random faults into node processes and checks the invariants")
public final class SoakCommand implements Callable<Integer> {

  private static final int DOMAINS = 4;

  @Option(name = "--root", description = "Checkout with the built jars")
  @Required
  private String root = "";

  @Option(name = "--work-folder", description = "Folder for settings, data and logs")
  @Required
  private String workFolder = "";

  @Option(name = "--seeds", description = "Number of seeds")
  private int seeds = 1;

  @Option(name = "--first", description = "First seed")
  private long firstSeed = 1;

  @Option(name = "--processes", description = "Node processes of each cluster, a multiple of 4")
  private int processes = 8;

  @Option(
      name = "--minutes",
      description = "Minutes after which no seed is started; 0 for no limit")
  private int minutes;

  @Option(
      name = "--fault-seconds",
      description = "Seconds in which faults are injected, for each seed")
  private int faultSeconds = 20;

  @Option(name = "--together", description = "Seeds that run at the same time")
  private int parallelSeeds = 1;

  @Override
  public Integer call() throws InterruptedException {
    if (processes < DOMAINS || processes % DOMAINS != 0) {
      System.err.println("--processes must be a multiple of " + DOMAINS);
      return 2;
    }
    SoakPlan plan =
        new SoakPlan(
            Path.of(root).toAbsolutePath().normalize(),
            Path.of(workFolder).toAbsolutePath().normalize(),
            processes,
            faultSeconds);
    long deadlineNanos =
        System.nanoTime() + (minutes == 0 ? Long.MAX_VALUE / 2 : TimeUnit.MINUTES.toNanos(minutes));
    ExecutorService executor = Executors.newFixedThreadPool(parallelSeeds);
    List<Future<Integer>> runs = new ArrayList<>();
    for (int i = 0; i < seeds; i++) {
      long seed = firstSeed + i;
      runs.add(executor.submit(() -> runSeed(plan, seed, deadlineNanos)));
    }
    executor.shutdown();
    return report(runs);
  }

  private static int report(List<Future<Integer>> runs) throws InterruptedException {
    int completed = 0;
    int failed = 0;
    for (Future<Integer> run : runs) {
      try {
        int problems = run.get();
        completed += problems < 0 ? 0 : 1;
        failed += problems > 0 ? 1 : 0;
      } catch (ExecutionException e) {
        throw new IllegalStateException("a seed could not be run", e.getCause());
      }
    }
    System.out.println(completed + " seeds run, " + failed + " failed");
    return failed == 0 ? 0 : 1;
  }

  /** Runs one seed and returns the number of problems, or -1 if the deadline had passed before. */
  private static int runSeed(SoakPlan plan, long seed, long deadlineNanos) {
    if (System.nanoTime() - deadlineNanos >= 0) {
      return -1;
    }
    List<String> problems;
    try (SoakRun run = new SoakRun(plan, seed)) {
      Thread shutdownHook = new Thread(run::close);
      Runtime.getRuntime().addShutdownHook(shutdownHook);
      SoakResult result = run.run();
      Runtime.getRuntime().removeShutdownHook(shutdownHook);
      problems = result.problems();
      System.out.println(
          "seed "
              + seed
              + ": "
              + result.steps()
              + " faults, "
              + result.outcomes()
              + ", observations "
              + result.observations()
              + ", requests during the graceful stop "
              + result.requestsAtStop());
    } catch (TrestleException e) {
      problems = List.of("stopped: " + e.getMessage());
    }
    problems.forEach(problem -> System.out.println("seed " + seed + " FAILED " + problem));
    if (problems.isEmpty()) {
      Folders.delete(plan.workFolder().resolve("seed-" + seed));
    }
    return problems.size();
  }
}
