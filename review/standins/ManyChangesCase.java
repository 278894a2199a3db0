import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * The operator sends hundreds of changes of a configuration with many routes, one after the other.
 * Checks that the configuration that was acknowledged last can be read back.
 */
final class ManyChangesCase {

  private static final int ROUTES = 1_400;
  private static final int CHANGES = 350;
  private static final long GAP_MILLIS = 200;
  private static final long CHANGES_MILLIS = 78_000;
  private static final long READ_MILLIS = 8_000;

  private ManyChangesCase() {}

  public static void main(String[] arguments) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int exit = 2;
    try (Record record = new Record(Path.of(arguments[0])); Cluster cluster = new Cluster(record)) {
      exit = run(cluster, record, trouble ? ROUTES : 0);
      record.add("result", "exit " + exit);
    } catch (Exception e) {
      e.printStackTrace();
      exit = 2;
    }
    System.exit(exit);
  }

  private static int run(Cluster cluster, Record record, int routes) throws Exception {
    cluster.addServices();
    if (!cluster.start(Configurations.of(4, Configurations.tenants(), 0, 4_000))) {
      record.add("result", "the deployment did not become ready");
      return 2;
    }
    List<Deployment.Machine> controls = cluster.deployment.controls();
    long acknowledged = 4;
    int acknowledgements = 0;
    long start = System.nanoTime();
    for (int change = 1; change <= CHANGES; change++) {
      long due = start + TimeUnit.MILLISECONDS.toNanos(change * GAP_MILLIS);
      while (System.nanoTime() < due) {
        Thread.sleep(5);
      }
      if (System.nanoTime() - start > TimeUnit.MILLISECONDS.toNanos(CHANGES_MILLIS)) {
        break;
      }
      long version = 4 + 3L * change;
      String document =
          Configurations.of(version, Configurations.tenants(), routes, 4_000 + change);
      if (change == 1) {
        record.add("operator", "a configuration has " + document.length() + " B");
      }
      if (cluster.deployment.publish(document, 4_000).status == 200) {
        acknowledged = version;
        acknowledgements++;
      }
      for (Deployment.Machine machine : controls) {
        restartIfEnded(machine, record);
      }
    }
    record.add("operator", acknowledgements + " changes were acknowledged, the last is version "
        + acknowledged);
    int exit = readBack(cluster, record, acknowledged);
    if (exit == 1) {
      // What a restart of the control nodes brings back does not change the verdict.
      for (Deployment.Machine machine : controls) {
        machine.kill();
        machine.start();
      }
      record.add("check", "after a restart of the control nodes:");
      readBack(cluster, record, acknowledged);
    }
    return exit;
  }

  private static int readBack(Cluster cluster, Record record, long acknowledged)
      throws Exception {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READ_MILLIS);
    boolean read = false;
    while (System.nanoTime() < end && !read) {
      for (Deployment.Machine machine : cluster.deployment.controls()) {
        restartIfEnded(machine, record);
        Http.Response response =
            Http.send(machine.address, Deployment.CONTROL, "GET", "/api/config",
                Map.of("Host", "operator"), new byte[0], 2_000);
        String version = response.status == 200 ? StandIns.number(response.text(), "version") : "";
        record.add("operator", "GET /api/config at " + machine.name + " -> " + response
            + (version.isEmpty() ? "" : ", version " + version));
        if (response.status == 200) {
          if (Long.parseLong(version) < acknowledged) {
            record.add("check", "CONFIG broken: an older version was read back");
            return 1;
          }
          read = true;
        }
      }
      Thread.sleep(300);
    }
    if (!read) {
      record.add("check", "CONFIG broken: no configuration could be read back within "
          + READ_MILLIS + " ms; version " + acknowledged + " was acknowledged");
      return 1;
    }
    return 0;
  }

  /** The platform starts a process that has ended again after a short delay. */
  private static void restartIfEnded(Deployment.Machine machine, Record record)
      throws Exception {
    if (!machine.process.isAlive()) {
      record.add("machine", machine.name + " ended by itself, code "
          + machine.process.exitValue());
      Thread.sleep(500);
      machine.start();
    }
  }
}
