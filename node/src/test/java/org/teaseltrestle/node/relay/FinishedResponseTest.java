package org.teaseltrestle.node.relay;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import org.teaseltrestle.kernel.ByteBudget;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.TrestleException;
import org.teaseltrestle.node.port.AttemptFailure;
import org.teaseltrestle.node.port.HeaderField;
import org.teaseltrestle.node.port.ResponseFraming;
import org.teaseltrestle.node.port.RoutedClient;
import org.teaseltrestle.node.port.ServiceResponse;
import org.teaseltrestle.policy.FailureKind;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that what ends late on a relay thread leaves the connection's next request alone. */
public final class FinishedResponseTest {

  private static final String CALL = "GET /call/x HTTP/1.1";
  private static final int SILENCE_MILLIS = 300;
  private static final int LONGER_THAN_THE_BUFFER = 1_200_000;

  /** Returns lengths of the body, one buffered and one forwarded as it arrives, and failures. */
  @DataProvider
  public Object[][] failuresOfClose() {
    List<Supplier<Throwable>> failures =
        List.of(
            () -> new TrestleException(ErrorCode.MALFORMED_MESSAGE, "deliberate"),
            () -> new AttemptFailure(FailureKind.LOST_DURING_ANSWER, "deliberate"),
            () -> new AssertionError("deliberate"));
    return failures.stream()
        .flatMap(
            failure ->
                List.of(1, LONGER_THAN_THE_BUFFER).stream()
                    .map(length -> new Object[] {length, failure}))
        .toArray(Object[][]::new);
  }

  /**
   * Guards against a request that gets no answer because an exception that followed the previous
   * answer closes their connection.
   */
  @Test(dataProvider = "failuresOfClose")
  public void exceptionAfterTheResponseLeavesTheNextRequestAlone(
      int length, Supplier<Throwable> failure) throws Exception {
    AtomicInteger calls = new AtomicInteger();
    CountDownLatch nextArrived = new CountDownLatch(1);
    CountDownLatch mayAnswerNext = new CountDownLatch(1);
    RoutedClient servers =
        call -> {
          if (calls.getAndIncrement() == 0) {
            return new Letters(length, () -> throwAfter(nextArrived, failure));
          }
          nextArrived.countDown();
          await(mayAnswerNext);
          return new Letters(1, () -> {});
        };
    try (FakeServer unused = new FakeServer((request, output) -> false);
        RoutedHarness relay = new RoutedHarness(ByteBudget.ofHeap(), servers, unused);
        RawCaller caller = new RawCaller(relay.port())) {
      RawCaller.Response first = caller.request(CALL).read("GET");
      assertEquals(first.end(), RawCaller.End.COMPLETE);
      assertEquals(first.body().length(), length);
      assertTrue(caller.request(CALL).staysOpen(SILENCE_MILLIS));
      mayAnswerNext.countDown();
      RawCaller.Response second = caller.read("GET");
      assertEquals(second.end(), RawCaller.End.COMPLETE);
      assertEquals(second.status(), 200);
    }
  }

  private static void throwAfter(CountDownLatch nextArrived, Supplier<Throwable> failure) {
    await(nextArrived);
    Throwable throwable = failure.get();
    if (throwable instanceof Error error) {
      throw error;
    }
    throw (RuntimeException) throwable;
  }

  private static void await(CountDownLatch latch) {
    try {
      assertTrue(latch.await(5, TimeUnit.SECONDS));
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Sound response of a given length. */
  private static final class Letters implements ServiceResponse {

    private final Runnable onClose;
    private int left;

    Letters(int length, Runnable onClose) {
      this.left = length;
      this.onClose = onClose;
    }

    @Override
    public int status() {
      return 200;
    }

    @Override
    public List<HeaderField> headers() {
      return List.of(new HeaderField("X-Request-Id", "id-1"));
    }

    @Override
    public ResponseFraming framing() {
      return ResponseFraming.CHUNKS;
    }

    @Override
    public int read(byte[] buffer) {
      if (left == 0) {
        return -1;
      }
      int count = Math.min(left, buffer.length);
      byte[] letter = "x".getBytes(StandardCharsets.UTF_8);
      for (int i = 0; i < count; i++) {
        buffer[i] = letter[0];
      }
      left -= count;
      return count;
    }

    @Override
    public void close() {
      onClose.run();
    }
  }
}
