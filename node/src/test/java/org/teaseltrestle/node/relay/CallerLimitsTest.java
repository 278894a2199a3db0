package org.teaseltrestle.node.relay;

import static org.testng.Assert.assertEquals;

import java.net.http.HttpResponse;
import org.teaseltrestle.model.serving.CallerLimits;
import org.testng.annotations.Test;

/** Tests of the limits on requests that the serving configuration sets. */
public final class CallerLimitsTest {

  private static final int DEFAULT_BODY_BYTES = 4 * 1024 * 1024;
  private static final FakeServer.Behaviour ANSWER =
      (request, output) -> {
        FakeServer.send(
            output, 200, "X-Request-Id: " + request.header("X-Request-Id") + "\r\n", "");
        return false;
      };

  private static CallerLimits limits(int headerBytes, int bodyBytes) {
    return new CallerLimits(headerBytes, bodyBytes, 10_000, 60_000);
  }

  private static int post(RoutedHarness relay, String path, int bodyBytes) {
    return relay.postAsync(path, "id-1", new byte[bodyBytes]).join().statusCode();
  }

  private static int postChunked(RoutedHarness relay, int bodyBytes) {
    return relay.postChunked("/call/x", "id-1", new byte[bodyBytes]).join().statusCode();
  }

  /** Guards against a limit on bodies that has no effect, or only after a restart. */
  @Test
  public void bodyLimitOfConfigurationInForceBinds() {
    try (FakeServer server = new FakeServer(ANSWER);
        RoutedHarness relay = new RoutedHarness(server)) {
      assertEquals(post(relay, "/call/x", 5_000), 200);
      relay.publishLimits(limits(16_384, 1_000));
      assertEquals(post(relay, "/call/x", 1_000), 200);
      assertEquals(post(relay, "/call/x", 1_001), 413);
      assertEquals(postChunked(relay, 1_000), 200);
      assertEquals(postChunked(relay, 5_000), 413);
      relay.publishLimits(limits(16_384, 6 * DEFAULT_BODY_BYTES));
      assertEquals(post(relay, "/call/x", 5 * DEFAULT_BODY_BYTES), 200);
      assertEquals(postChunked(relay, 3 * DEFAULT_BODY_BYTES), 200);
      assertEquals(server.received.size(), 5);
    }
  }

  /** Guards against a limit on header fields that has no effect, or only after a restart. */
  @Test
  public void headerLimitOfConfigurationInForceBinds() {
    try (FakeServer server = new FakeServer(ANSWER);
        RoutedHarness relay = new RoutedHarness(server)) {
      String path = "/call/" + "x".repeat(3_000);
      assertEquals(post(relay, path, 1), 200);
      relay.publishLimits(limits(2_000, 1_000));
      assertEquals(post(relay, path, 1), 431);
      HttpResponse<String> small = relay.post("/call/x");
      assertEquals(small.statusCode(), 200);
      relay.publishLimits(limits(16_384, 1_000));
      assertEquals(post(relay, path, 1), 200);
    }
  }
}
