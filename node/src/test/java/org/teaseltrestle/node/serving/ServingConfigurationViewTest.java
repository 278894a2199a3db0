package org.teaseltrestle.node.serving;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;

import com.google.protobuf.ByteString;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.control.ControlGateway;
import org.teaseltrestle.control.ControlState;
import org.teaseltrestle.control.ControlView;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.TrestleException;
import org.teaseltrestle.model.serving.CallerLimits;
import org.teaseltrestle.model.serving.ServingConfiguration;
import org.teaseltrestle.wire.Command;
import org.teaseltrestle.wire.CommandAnswer;
import org.teaseltrestle.wire.PublishConfiguration;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of {@link ServingConfigurationView}. */
@Test(singleThreaded = true)
public final class ServingConfigurationViewTest {

  private final AtomicInteger parsed = new AtomicInteger();
  private Committed control = new Committed();
  private ServingConfigurationView view = new ServingConfigurationView(control, this::parse);

  /** Starts without a configuration. */
  @BeforeMethod
  public void start() {
    control = new Committed();
    view = new ServingConfigurationView(control, this::parse);
  }

  /** Parses a document that is its own version; others are unreadable. */
  private ServingConfiguration parse(byte[] document) {
    parsed.incrementAndGet();
    String text = new String(document, StandardCharsets.UTF_8);
    if (text.startsWith("unreadable")) {
      throw new TrestleException(ErrorCode.MALFORMED_MESSAGE, "routes[0].host: found nothing");
    }
    if (text.startsWith("broken")) {
      throw new IllegalStateException("broken");
    }
    return new ServingConfiguration(
        Long.parseLong(text), List.of(), List.of(), List.of(), CallerLimits.DEFAULT);
  }

  private long currentVersion() {
    ServingConfiguration current = view.current();
    return current == null ? 0 : current.version();
  }

  /** Guards against requests that fail because the committed configuration cannot be parsed. */
  @Test
  public void unreadableVersionLeavesPreviousInForce() {
    control.publish(1, "1");
    assertEquals(currentVersion(), 1);
    control.publish(2, "unreadable");
    assertEquals(currentVersion(), 1);
    control.publish(3, "broken");
    assertEquals(currentVersion(), 1);
    control.publish(4, "4");
    assertEquals(currentVersion(), 4);
  }

  /** Guards against parsing an unreadable configuration again for each request. */
  @Test
  public void unreadableVersionIsParsedOnce() {
    control.publish(7, "unreadable");
    assertNull(view.current());
    int before = parsed.get();
    for (int request = 0; request < 100; request++) {
      assertNull(view.current());
    }
    assertEquals(parsed.get(), before);
    control.publish(8, "8");
    assertEquals(currentVersion(), 8);
  }

  /** Control state whose commands are committed at once. */
  private static final class Committed implements ControlGateway {

    private final ControlState state = new ControlState();
    private @Nullable ControlView view;
    private long index;

    void publish(long version, String document) {
      CommandAnswer answer =
          state.apply(
              ++index,
              Command.newBuilder()
                  .setRequestId("request-" + index)
                  .setPublishConfiguration(
                      PublishConfiguration.newBuilder()
                          .setVersion(version)
                          .setDocument(ByteString.copyFromUtf8(document)))
                  .build());
      assertEquals(answer.getStatus(), CommandAnswer.Status.ACCEPTED);
      view = state.view();
    }

    @Override
    public ControlView view() {
      return view == null ? state.view() : view;
    }

    @Override
    public CompletableFuture<CommandAnswer> propose(Command command) {
      throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<List<String>> awaitedInstances(long atIndex) {
      return CompletableFuture.completedFuture(List.of());
    }

    @Override
    public CompletableFuture<Long> confirmedIndex() {
      return CompletableFuture.completedFuture(index);
    }

    @Override
    public boolean isReady() {
      return true;
    }

    @Override
    public OptionalLong knownAsOfNanos() {
      return OptionalLong.of(System.nanoTime());
    }

    @Override
    public long keyLeaseEndsAtNanos() {
      return Long.MAX_VALUE;
    }
  }
}
