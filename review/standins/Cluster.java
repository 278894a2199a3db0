import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;

/** A small deployment of three control nodes and one entry node with its stand-ins. */
final class Cluster implements AutoCloseable {

  final Deployment deployment;
  final StandIns standIns;
  final Deployment.Machine entry;

  Cluster(Record record) throws IOException {
    deployment = new Deployment(record);
    standIns = new StandIns(deployment, record);
    for (int zone = 0; zone < 3; zone++) {
      deployment.add("control", zone + 1, zone);
    }
    entry = deployment.add("entry", 1, 0);
  }

  /** Adds three replicas of the plain service with the sheet's slots and work. */
  void addServices() throws IOException {
    for (int i = 0; i < 3; i++) {
      standIns.add("app", 41 + i, i, false, 6, 60);
    }
  }

  /** Starts all machines and returns whether a configuration is in force at the entry node. */
  boolean start(String configuration) throws IOException, InterruptedException {
    deployment.startAll();
    return deployment.publish(configuration, 30_000).status == 200
        && deployment.awaitReady(entry, 30_000);
  }

  Http.Response request(String id, String method, String target, byte[] body, int timeoutMillis) {
    return request(id, method, target, Configurations.KEY, body, timeoutMillis);
  }

  Http.Response request(
      String id, String method, String target, String key, byte[] body, int timeoutMillis) {
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("Host", Configurations.HOST);
    headers.put("X-Request-Id", id);
    headers.put("X-Deadline-Ms", Integer.toString(timeoutMillis));
    if (key != null) {
      headers.put("Api-Key", key);
    }
    Http.Response response =
        Http.send(entry.address, Deployment.FRONT, method, target, headers, body, timeoutMillis);
    deployment.record.add(
        "client", id + " " + method + " " + target + " body " + body.length + " B -> " + response
            + (response.status == 200 || response.body.length > 200 ? "" : " " + response.text()));
    return response;
  }

  @Override
  public void close() {
    standIns.close();
    deployment.close();
  }
}
