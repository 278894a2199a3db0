package org.teaseltrestle.node.replica;

import static org.testng.Assert.assertTrue;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.teaseltrestle.kernel.MonotonicClock;
import org.teaseltrestle.kernel.WallClock;
import org.teaseltrestle.model.ClientAccount;
import org.teaseltrestle.model.FailureDomain;
import org.teaseltrestle.model.InstanceId;
import org.teaseltrestle.node.settings.VoterSettings;
import org.teaseltrestle.transport.MessageHandler;
import org.teaseltrestle.transport.PeerTransport;
import org.teaseltrestle.wire.CommittedCommands;
import org.teaseltrestle.wire.Envelope;
import org.testng.annotations.Test;

/** Tests of a follower whose duty thread has no time for the messages that arrive. */
public final class BusyFollowerTest {

  private static final long BUSY_NANOS = TimeUnit.SECONDS.toNanos(2);
  private static final long TOLERANCE_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  /** Guards against news that becomes younger while it waits for the duty thread. */
  @Test
  public void newsIsDatedByItsArrival() {
    CountDownLatch busy = new CountDownLatch(1);
    RecordingTransport transport = new RecordingTransport();
    try (FollowService follower =
        new FollowService(
            settings(),
            new ControlPlaneContext(
                transport,
                new MessageHandlerRegistry(transport),
                MonotonicClock.SYSTEM,
                WallClock.SYSTEM,
                () -> demandOfBusyProcess(busy),
                (granted, total, expiry, standard) -> {}))) {
      follower.start();
      LoopbackCluster.await(
          "renewal",
          () -> {
            // Only a parent that has told news is renewed with.
            transport.deliver(CommittedCommands.newBuilder().setRootAgeMillis(1_000).build());
            return busy.getCount() == 0;
          });
      long arrivedAtNanos = System.nanoTime();
      transport.deliver(CommittedCommands.newBuilder().setRootAgeMillis(0).build());
      LoopbackCluster.await(
          "news", () -> follower.knownAsOfNanos().orElse(Long.MIN_VALUE / 2) - arrivedAtNanos >= 0);
      long younger = follower.knownAsOfNanos().orElseThrow() - arrivedAtNanos;
      assertTrue(
          younger < TOLERANCE_NANOS, TimeUnit.NANOSECONDS.toMillis(younger) + " ms too young");
    }
  }

  private static Map<ClientAccount, Double> demandOfBusyProcess(CountDownLatch busy) {
    if (busy.getCount() > 0) {
      busy.countDown();
      long end = System.nanoTime() + BUSY_NANOS;
      while (System.nanoTime() - end < 0) {
        LockSupport.parkNanos(end - System.nanoTime());
      }
    }
    return Map.of();
  }

  private static ControlPlaneSettings settings() {
    FailureDomain domain = new FailureDomain("domain-a");
    return new ControlPlaneSettings(
        new InstanceId("entry"),
        1,
        domain,
        "region-a",
        new InetSocketAddress("127.0.0.1", 2),
        null,
        0,
        List.of(
            new VoterSettings(
                new InstanceId("voter"), domain, new InetSocketAddress("127.0.0.1", 1))),
        Map.of(),
        100,
        1_000,
        1_000);
  }

  private static final class RecordingTransport implements PeerTransport {

    private final Map<String, MessageHandler> handlers = new ConcurrentHashMap<>();

    void deliver(CommittedCommands message) {
      MessageHandler handler = handlers.get(FollowMessage.SERVICE);
      if (handler != null) {
        handler.onMessage(
            Envelope.newBuilder()
                .setSenderInstance("voter")
                .setKind(FollowMessage.COMMANDS.kind())
                .setBody(message.toByteString())
                .build(),
            body -> {});
      }
    }

    @Override
    public void register(String service, MessageHandler handler) {
      handlers.put(service, handler);
    }

    @Override
    public boolean send(InetSocketAddress peer, String service, int kind, byte[] body) {
      return true;
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
