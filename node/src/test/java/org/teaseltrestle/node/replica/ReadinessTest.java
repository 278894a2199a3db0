package org.teaseltrestle.node.replica;

import static org.testng.Assert.assertTrue;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import org.teaseltrestle.kernel.MonotonicClock;
import org.teaseltrestle.model.FailureDomain;
import org.teaseltrestle.model.InstanceId;
import org.teaseltrestle.node.settings.VoterSettings;
import org.teaseltrestle.transport.MessageHandler;
import org.teaseltrestle.transport.PeerTransport;
import org.teaseltrestle.wire.LeaderAnswer;
import org.testng.annotations.Test;

/** Tests of when a process counts as ready. */
public final class ReadinessTest {

  private static final InetSocketAddress ADDRESS = new InetSocketAddress("127.0.0.1", 1);

  /** Guards against a node that is never ready, because the queue of its duty was full once. */
  @Test
  public void confirmationThatIsDroppedIsRequestedAgain() {
    AtomicInteger confirmations = new AtomicInteger();
    Readiness readiness =
        new Readiness(
            new LeaderClient(confirmingCalls(), MonotonicClock.SYSTEM),
            task -> {
              boolean accepted = confirmations.incrementAndGet() > 1;
              if (accepted) {
                task.run();
              }
              return accepted;
            });
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(8);
    while (!readiness.isReady() && System.nanoTime() - end < 0) {
      readiness.tick(1);
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(10));
    }
    assertTrue(readiness.isReady(), confirmations + " confirmations in eight seconds");
  }

  private static LeaderCalls confirmingCalls() {
    InstanceId self = new InstanceId("voter");
    FailureDomain domain = new FailureDomain("domain-a");
    ControlPlaneSettings settings =
        new ControlPlaneSettings(
            self,
            1,
            domain,
            "region-a",
            ADDRESS,
            null,
            0,
            List.of(new VoterSettings(self, domain, ADDRESS)),
            Map.of(),
            100,
            1_000,
            1_000);
    return new LeaderCalls(
        settings,
        new UnusedTransport(),
        new PeerAddresses(settings),
        MonotonicClock.SYSTEM,
        (request, body, reply) ->
            reply.accept(
                LeaderAnswer.newBuilder()
                    .setStatus(LeaderAnswer.Status.ANSWERED)
                    .setConfirmedIndex(1)
                    .build()));
  }

  private static final class UnusedTransport implements PeerTransport {

    @Override
    public void register(String service, MessageHandler handler) {}

    @Override
    public boolean send(InetSocketAddress peer, String service, int kind, byte[] body) {
      return false;
    }

    @Override
    public CompletableFuture<byte[]> call(
        InetSocketAddress peer, String service, int kind, byte[] body, long deadlineNanos) {
      return new CompletableFuture<>();
    }

    @Override
    public void close() {}
  }
}
