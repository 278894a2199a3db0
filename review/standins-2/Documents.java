/** Configurations of the deployment. */
final class Documents {

  static final String MODELS = "models";
  static final String APPLICATION = "application";

  private Documents() {}

  static String configuration(long version) {
    return configuration(version, "");
  }

  /** Returns a configuration with further routes, each preceded by a comma. */
  static String configuration(long version, String moreRoutes) {
    return "{\"version\":" + version + ",\"routes\":["
        + route("ask", "/ask/", "streaming", 8000, MODELS, 1, true, false) + ","
        + route("quote", "/quote/", "streaming", 6000, MODELS, 2, true, true) + ","
        + route("book", "/book/", "unsafe", 4000, APPLICATION, 1, false, false) + ","
        + route("look", "/look/", "safe", 4000, APPLICATION, 2, false, false)
        + moreRoutes + "],\"services\":[{\"name\":\"" + MODELS
        + "\",\"healthCheckPath\":\"/health\",\"maxConnections\":370,\"protocol\":\"h1\","
        + "\"tls\":false,\"engine\":{\"slots\":64,\"kvCacheTokens\":500000,"
        + "\"kvTokenBytes\":163840,\"linkMbps\":1700000.0,\"moves\":true,\"backups\":true,"
        + "\"stride\":7,\"most\":12,\"handleTtlS\":5.0,\"roleSwitchS\":3.0,\"pinMs\":4000.0,"
        + "\"holdMs\":2000.0,\"models\":[{\"name\":\"m\"}]}},{\"name\":\"" + APPLICATION
        + "\",\"healthCheckPath\":\"/health\",\"maxConnections\":110,\"protocol\":\"h1\","
        + "\"tls\":false}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
        + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"tenants\":[{\"name\":\""
        + Site.TENANT + "\",\"apiKeys\":[\"" + Site.KEY + "\"],\"priority\":1}]}";
  }

  static String route(
      String name,
      String prefix,
      String kind,
      int timeoutMillis,
      String service,
      int attempts,
      boolean affinity,
      boolean resumable) {
    return "{\"name\":\"" + name + "\",\"host\":\"" + Site.HOST + "\",\"pathPrefix\":\"" + prefix
        + "\",\"kind\":\"" + kind + "\",\"timeoutMs\":" + timeoutMillis
        + ",\"targetLatencyMs\":500,\"priority\":1,\"service\":\"" + service + "\",\"attempts\":"
        + attempts + ",\"public\":false,\"sessionAffinity\":" + affinity + ",\"resumable\":"
        + resumable + ",\"targetGapMs\":150}";
  }
}
