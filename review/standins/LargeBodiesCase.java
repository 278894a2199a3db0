import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/**
 * Clients send requests with the largest body that the configuration allows, at the same time.
 * Checks that requests without an answer at their route's time-out have one half a second later.
 */
final class LargeBodiesCase {

  private static final int CLIENTS = 48;
  private static final int BODY_BYTES = 4_194_304; // maxBodyBytes
  private static final int TIMEOUT_MILLIS = 4_000; // timeoutMs of the route
  private static final int GRACE_MILLIS = 500;
  private static final int CLIENT_WAITS_MILLIS = 8_000;
  private static final int LEAST_LATE = 8;

  private LargeBodiesCase() {}

  public static void main(String[] arguments) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int exit = 2;
    try (Record record = new Record(Path.of(arguments[0])); Cluster cluster = new Cluster(record)) {
      exit = run(cluster, record, trouble);
      record.add("result", "exit " + exit);
    } catch (Exception e) {
      e.printStackTrace();
      exit = 2;
    }
    System.exit(exit);
  }

  private static int run(Cluster cluster, Record record, boolean trouble) throws Exception {
    cluster.addServices();
    if (!cluster.start(Configurations.of(4))) {
      record.add("result", "the deployment did not become ready");
      return 2;
    }
    Thread.sleep(2_000);
    byte[] body = new byte[BODY_BYTES];
    Arrays.fill(body, (byte) 'x');
    ExecutorService clients = Executors.newFixedThreadPool(trouble ? CLIENTS : 1);
    List<Future<Http.Response>> answers = new ArrayList<>();
    for (int i = 0; i < CLIENTS; i++) {
      String id = "booking" + i;
      answers.add(
          clients.submit(
              () ->
                  cluster.request(
                      id, "POST", Configurations.BOOKING_PREFIX + "new", body,
                      CLIENT_WAITS_MILLIS)));
    }
    int unanswered = 0;
    int late = 0;
    for (Future<Http.Response> answer : answers) {
      Http.Response response = answer.get();
      boolean never = response.status <= 0;
      unanswered += never || response.millis > TIMEOUT_MILLIS ? 1 : 0;
      late += never || response.millis > TIMEOUT_MILLIS + GRACE_MILLIS ? 1 : 0;
    }
    clients.shutdown();
    record.add("check", "the entry node says that it is "
        + (cluster.deployment.awaitReady(cluster.entry, 2_000) ? "ready" : "not ready"));
    long errors = Deployment.lines(cluster.entry.logText(), "OutOfMemoryError").size();
    record.add("check", "unanswered after " + TIMEOUT_MILLIS + " ms: " + unanswered + ", after "
        + (TIMEOUT_MILLIS + GRACE_MILLIS) + " ms: " + late + ", of " + CLIENTS
        + "; OutOfMemoryError in the log of the entry node: " + errors);
    boolean broken = late >= LEAST_LATE && 2 * late > unanswered;
    if (broken) {
      record.add("check", "CONFIG broken: more than half of them have no answer");
    }
    return broken ? 1 : 0;
  }
}
