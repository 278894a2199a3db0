package org.teaseltrestle.node.relay;

import static org.testng.Assert.assertEquals;

import java.net.http.HttpResponse;
import org.testng.annotations.Test;

/** Tests of routes to plain services whose requests carry prefix hashes. */
public final class PlainServiceRouteTest {

  /** Guards against a route that is not served after it moved from engines to a plain service. */
  @Test
  public void routeWithPrefixHashesIsServedByPlainService() {
    FakeServer.Behaviour answer =
        (request, output) -> {
          FakeServer.startStream(output, request.header("X-Request-Id"));
          FakeServer.event(output, "1");
          FakeServer.endStream(output);
          return false;
        };
    try (FakeServer engine = new FakeServer(answer);
        FakeServer plain = new FakeServer(answer);
        RoutedHarness relay = new RoutedHarness(engine)) {
      relay.addPlainServer(plain);
      HttpResponse<String> response = relay.postPrompt("/without-engine/x", "id-1", "a1,b2");
      assertEquals(response.statusCode(), 200, response.body());
      assertEquals(plain.received.size(), 1);
      assertEquals(relay.postPrompt("/single/x", "id-2", "a1,b2").statusCode(), 200);
      assertEquals(engine.received.size(), 1);
    }
  }
}
