/** Configurations in the format of the users' protocol page. */
final class Configurations {

  static final String HOST = "desk.example";
  static final String KEY = "3fexd9dnn2ctnfzs989a";
  static final String APP_PREFIX = "/orders/";
  static final String BOOKING_PREFIX = "/bookings/";

  private Configurations() {}

  static String of(long version, String tenants) {
    return of(version, tenants, 0, 4_000);
  }

  /** Returns a configuration with more routes, which receive no requests. */
  static String of(long version, String tenants, int moreRoutes, int timeoutMillis) {
    StringBuilder more = new StringBuilder();
    for (int i = 0; i < moreRoutes; i++) {
      more.append(
          route("r-more" + i, "/more" + i + "/" + Integer.toHexString(i) + "/", "safe", "app", 2,
                  timeoutMillis)
              .replace("\"service\":\"app\"",
                  "\"trafficSplit\":[{\"service\":\"app\",\"weight\":90},"
                      + "{\"service\":\"desk\",\"weight\":10}]"))
          .append(",");
    }
    return "{\"version\":" + version + ",\"routes\":[" + more
        + route("r-lookup", APP_PREFIX, "safe", "app", 2, timeoutMillis) + ","
        + route("r-booking", BOOKING_PREFIX, "unsafe", "app", 1, timeoutMillis) + ","
        + "{\"name\":\"r-reply\",\"host\":\"" + HOST + "\",\"pathPrefix\":\"/reply/\","
        + "\"kind\":\"streaming\",\"timeoutMs\":8000,\"targetLatencyMs\":400,\"priority\":0,"
        + "\"service\":\"desk\",\"attempts\":1,\"public\":false,\"sessionAffinity\":true,"
        + "\"resumable\":false,\"targetGapMs\":150}],"
        + "\"services\":[{\"name\":\"app\",\"healthCheckPath\":\"/health\",\"maxConnections\":110,"
        + "\"protocol\":\"h1\",\"tls\":false},"
        + "{\"name\":\"desk\",\"healthCheckPath\":\"/health\",\"maxConnections\":370,"
        + "\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":64,\"kvCacheTokens\":517069,"
        + "\"kvTokenBytes\":163840,\"linkMbps\":1700000.0,\"moves\":true,\"backups\":true,"
        + "\"stride\":7,\"most\":12,\"handleTtlS\":5.0,\"roleSwitchS\":3.0,\"pinMs\":4000.0,"
        + "\"holdMs\":2000.0,\"models\":[{\"name\":\"m\"}]}}],"
        + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
        + "\"idleTimeoutMs\":15000},\"tenants\":" + tenants + "}";
  }

  static String of(long version) {
    return of(version, tenants());
  }

  static String tenants() {
    return "[{\"name\":\"tenant-1\",\"apiKeys\":[\"" + KEY
        + "\"],\"priority\":1},{\"name\":\"tenant-2\",\"apiKeys\":[\"nu6wsjnbanfqasnmgkcu\"],"
        + "\"priority\":1}]";
  }

  private static String route(
      String name, String prefix, String kind, String service, int attempts, int timeoutMillis) {
    return "{\"name\":\"" + name + "\",\"host\":\"" + HOST + "\",\"pathPrefix\":\"" + prefix
        + "\",\"kind\":\"" + kind + "\",\"timeoutMs\":" + timeoutMillis + ",\"targetLatencyMs\":300,\"priority\":2,"
        + "\"service\":\"" + service + "\",\"attempts\":" + attempts
        + ",\"public\":false,\"sessionAffinity\":false,\"resumable\":false,\"targetGapMs\":150}";
  }
}
