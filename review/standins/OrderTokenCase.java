import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;

/**
 * One order to an engine gets no answer, and the leader that sent it is killed. Checks that no two
 * holders send an engine the same fencing token.
 */
final class OrderTokenCase {

  private OrderTokenCase() {}

  public static void main(String[] arguments) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int exit = 2;
    try (Record record = new Record(Path.of(arguments[0]));
        Deployment deployment = new Deployment(record);
        StandIns standIns = new StandIns(deployment, record)) {
      exit = run(deployment, standIns, record, trouble);
      record.add("result", "exit " + exit);
    } catch (Exception e) {
      e.printStackTrace();
      exit = 2;
    }
    System.exit(exit);
  }

  private static int run(Deployment deployment, StandIns standIns, Record record, boolean trouble)
      throws Exception {
    for (int zone = 0; zone < 3; zone++) {
      deployment.add("control", zone + 1, zone);
    }
    deployment.add("entry", 1, 0);
    for (int i = 0; i < 4; i++) {
      standIns.add("desk", 31 + i, i % 3, true, 64, 20);
    }
    // The page: an unanswered order may be carried out seconds later; the bench takes 2 to 12 s.
    standIns.unansweredOrderMillis.set(trouble ? 8_000 : 0);
    standIns.add("app", 41, 0, false, 6, 60);
    deployment.startAll();
    if (deployment.publish(Configurations.of(4), 30_000).status != 200) {
      record.add("result", "no configuration was acknowledged");
      return 2;
    }
    if (!awaitOrder(standIns, 30_000)) {
      record.add("result", "no order was sent");
      return 2;
    }
    Thread.sleep(500);
    if (trouble) {
      if (standIns.unanswered == null) {
        record.add("result", "no order was left unanswered");
        return 2;
      }
      deployment.machines.get(standIns.unanswered.holder()).kill();
    }
    long end = System.nanoTime() + 15_000_000_000L;
    while (System.nanoTime() < end && !isBroken(standIns, record, false)) {
      Thread.sleep(100);
    }
    return isBroken(standIns, record, true) ? 1 : 0;
  }

  private static boolean awaitOrder(StandIns standIns, long timeoutMillis)
      throws InterruptedException {
    long end = System.nanoTime() + timeoutMillis * 1_000_000L;
    while (System.nanoTime() < end) {
      for (StandIns.Replica engine : standIns.replicas) {
        if (!engine.orders.isEmpty()) {
          return true;
        }
      }
      Thread.sleep(5);
    }
    return false;
  }

  private static boolean isBroken(StandIns standIns, Record record, boolean report) {
    boolean broken = false;
    for (StandIns.Replica engine : standIns.replicas) {
      Map<Long, String> holders = new HashMap<>();
      for (StandIns.Order order : engine.orders) {
        String other = holders.putIfAbsent(order.token(), order.holder());
        if (other != null && !other.equals(order.holder())) {
          broken = true;
          if (report) {
            record.add(
                "check",
                "ONE broken: " + engine.id + " received fencing token " + order.token() + " from "
                    + other + " and, at " + order.atSeconds() + " s, from " + order.holder());
          }
        }
      }
    }
    return broken;
  }
}
