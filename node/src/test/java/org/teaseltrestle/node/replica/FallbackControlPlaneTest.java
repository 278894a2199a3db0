package org.teaseltrestle.node.replica;

import static org.testng.Assert.assertEquals;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.teaseltrestle.control.ControlView;
import org.teaseltrestle.wire.Command;
import org.teaseltrestle.wire.CommandAnswer;
import org.testng.annotations.Test;

/** Tests of what remains visible when the control plane of an instance is replaced. */
public final class FallbackControlPlaneTest {

  private static ControlView viewAt(long index) {
    AppliedState state = new AppliedState();
    for (long i = 1; i <= index; i++) {
      state.apply(i, ByteString.EMPTY);
    }
    state.publish();
    return state.view();
  }

  /** Guards against a view that goes back while a reopened replica catches up. */
  @Test
  public void viewDoesNotGoBackWhileTheNewDelegateCatchesUp() {
    FallbackControlPlane plane = new FallbackControlPlane(() -> {});
    ControlView before = viewAt(8);
    plane.replace(new StubControlPlane(() -> before), () -> {});
    assertEquals(plane.view().appliedIndex(), 8);
    ControlView behind = viewAt(5);
    ControlView caughtUp = viewAt(10);
    for (int behindFor = 0; behindFor < 6; behindFor++) {
      int[] reads = {behindFor};
      plane.replace(new StubControlPlane(() -> reads[0]-- > 0 ? behind : caughtUp), () -> {});
      long last = 0;
      while (reads[0] > -6) {
        long index = plane.view().appliedIndex();
        assertEquals(Math.max(index, Math.max(last, 8)), index, "index after " + last);
        last = index;
      }
      plane.replace(new StubControlPlane(() -> before), () -> {});
    }
  }

  /**
   * Guards against a node that obeys an older configuration, or none, after its replica stopped or
   * was reopened while a request was reading the view.
   */
  @Test
  public void viewReadDuringReplacementDoesNotMakeItGoBack() {
    FallbackControlPlane plane = new FallbackControlPlane(() -> {});
    plane.replace(new StubControlPlane(() -> viewAt(3)), () -> {});
    ControlPlane behind = new StubControlPlane(() -> viewAt(0));
    plane.replace(behind, () -> assertEquals(plane.view().appliedIndex(), 3));
    assertEquals(plane.view().appliedIndex(), 3);
    plane.replace(new StubControlPlane(() -> viewAt(4)), () -> {});
    assertEquals(plane.view().appliedIndex(), 4);
  }

  /** Guards against a node that knows less, or nothing, after its replica stopped. */
  @Test
  public void knowledgeDoesNotGoBackWhileTheNewDelegateCatchesUp() {
    FallbackControlPlane plane = new FallbackControlPlane(() -> {});
    plane.replace(known(OptionalLong.of(100)), () -> {});
    OptionalLong[] known = {OptionalLong.empty()};
    plane.replace(new StubControlPlane(() -> viewAt(3), () -> known[0]), () -> {});
    assertEquals(plane.knownAsOfNanos(), OptionalLong.of(100));
    known[0] = OptionalLong.of(99);
    assertEquals(plane.knownAsOfNanos(), OptionalLong.of(100));
    plane.replace(known(OptionalLong.empty()), () -> {});
    assertEquals(plane.knownAsOfNanos(), OptionalLong.of(100));
    plane.replace(known(OptionalLong.of(101)), () -> {});
    assertEquals(plane.knownAsOfNanos(), OptionalLong.of(101));
  }

  private static ControlPlane known(OptionalLong asOfNanos) {
    return new StubControlPlane(() -> viewAt(3), () -> asOfNanos);
  }

  /** Control plane of which only the view and what is known matter. */
  private record StubControlPlane(Supplier<ControlView> views, Supplier<OptionalLong> known)
      implements ControlPlane {

    StubControlPlane(Supplier<ControlView> views) {
      this(views, OptionalLong::empty);
    }

    @Override
    public OptionalLong knownAsOfNanos() {
      return known.get();
    }

    @Override
    public ControlView view() {
      return views.get();
    }

    @Override
    public CompletableFuture<CommandAnswer> propose(Command command) {
      throw new UnsupportedOperationException();
    }

    @Override
    public boolean isReady() {
      return true;
    }

    @Override
    public long keyLeaseEndsAtNanos() {
      return 0;
    }

    @Override
    public Optional<Authority> authority() {
      return Optional.empty();
    }

    @Override
    public CompletableFuture<List<String>> awaitedInstances(long atIndex) {
      return CompletableFuture.completedFuture(List.of());
    }

    @Override
    public CompletableFuture<Long> confirmedIndex() {
      throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<WithdrawalReport> withdrawalReport(long index) {
      throw new UnsupportedOperationException();
    }

    @Override
    public ControlStatus status() {
      return new ControlStatus("stub", 0, "", List.of(), 0, 0);
    }

    @Override
    public void close() {}
  }
}
