package org.teaseltrestle.node.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that a backend server's framing never decides how the caller reads its connection. */
public final class ResponseFramingTest {

  private static final String NEXT = "next";
  private static final List<String> PATHS = List.of("/call/x", "/safe/x", "/single/x");
  private static final List<String> FIELDS =
      List.of(
          "Content-Length: 0\r\n",
          "Content-Length: 5\r\n\r\nhello",
          "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n",
          "Trailer: x\r\nUpgrade: h2c\r\nConnection: upgrade, x-named\r\nX-Named: 1\r\n"
              + "Content-Length: 5\r\n\r\nhello",
          "Content-Length: 5\r\nContent-Length: 5\r\n\r\nhello");

  /** Returns methods, statuses, paths and framing fields. */
  @DataProvider
  public Object[][] responses() {
    List<Object[]> rows = new ArrayList<>();
    for (String method : List.of("GET", "HEAD")) {
      for (int status : List.of(101, 199, 200, 204, 205, 206, 304, 404)) {
        for (String path : PATHS) {
          FIELDS.forEach(fields -> rows.add(new Object[] {method, status, path, fields}));
        }
      }
    }
    return rows.toArray(Object[][]::new);
  }

  /**
   * Guards against bytes of one response that a caller takes for the response to its next request.
   */
  @Test(dataProvider = "responses")
  public void nextResponseIsReadFromItsStart(String method, int status, String path, String fields)
      throws Exception {
    FakeServer.Behaviour behaviour =
        (request, output) -> {
          if (request.target().endsWith(NEXT)) {
            FakeServer.send(output, 200, "X-Request-Id: id-1\r\n", NEXT);
            return true;
          }
          String head = "HTTP/1.1 " + status + " x\r\nX-Request-Id: id-1\r\n" + fields;
          output.write((head + "\r\n").getBytes(StandardCharsets.UTF_8));
          output.flush();
          return false;
        };
    try (FakeServer server = new FakeServer(behaviour);
        RoutedHarness relay = new RoutedHarness(server);
        RawCaller caller = new RawCaller(relay.port())) {
      RawCaller.Response first = caller.request(method + " " + path + " HTTP/1.1").read(method);
      assertTrue(first.status() >= 200 || first.end() == RawCaller.End.BROKEN, first.head());
      assertNull(first.header("Trailer"));
      assertNull(first.header("Upgrade"));
      assertNull(first.header("X-Named"));
      if (first.end() == RawCaller.End.COMPLETE) {
        RawCaller.Response next = caller.request("GET /call/" + NEXT + " HTTP/1.1").read("GET");
        assertEquals(next.head().substring(0, Math.min(8, next.head().length())), "HTTP/1.1");
        assertTrue(next.status() != 200 || next.body().equals(NEXT), next.body());
      }
    }
  }
}
