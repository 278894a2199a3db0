import java.nio.file.Path;

/**
 * A change of the configuration takes the last tenant away. Checks that requests without a key, and
 * with a key that no configuration ever held, don't run.
 */
final class NoTenantsCase {

  private NoTenantsCase() {}

  public static void main(String[] arguments) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int exit = 2;
    try (Record record = new Record(Path.of(arguments[0])); Cluster cluster = new Cluster(record)) {
      exit = run(cluster, record, trouble);
      record.add("result", "exit " + exit);
    }
    System.exit(exit);
  }

  private static int run(Cluster cluster, Record record, boolean trouble) throws Exception {
    cluster.addServices();
    String oneTenant =
        "[{\"name\":\"tenant-1\",\"apiKeys\":[\"" + Configurations.KEY + "\"],\"priority\":1}]";
    if (!cluster.start(Configurations.of(4, oneTenant))) {
      record.add("result", "the deployment did not become ready");
      return 2;
    }
    Thread.sleep(2_000);
    if (ran(cluster, "before") > 0) {
      record.add("result", "requests without a key ran before the change");
      return 2;
    }
    String tenants = trouble ? "[]" : oneTenant;
    Http.Response change =
        cluster.deployment.publish(Configurations.of(7, tenants), 10_000);
    if (change.status != 200) {
      record.add("check", "the change was not acknowledged, so it is not in force");
    }
    Thread.sleep(3_000); // configApplyMs is 2,000
    int ran = ran(cluster, "after");
    if (ran > 0) {
      record.add("check", "ROUTE broken: " + ran + " requests ran whose key no configuration held");
    }
    return ran > 0 ? 1 : 0;
  }

  /** Returns how many of the requests with a foreign key ran at a replica. */
  private static int ran(Cluster cluster, String when) {
    int ran = 0;
    for (int i = 0; i < 5; i++) {
      Http.Response response =
          cluster.request(
              when + i, "POST", Configurations.BOOKING_PREFIX + "new", "keythatnobodyholds",
              new byte[0], 4_000);
      ran += response.headers.containsKey("x-response-stamp") ? 1 : 0;
    }
    return ran;
  }
}
