package org.teaseltrestle.node.usage;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.google.protobuf.InvalidProtocolBufferException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.teaseltrestle.control.ControlGateway;
import org.teaseltrestle.control.ControlState;
import org.teaseltrestle.control.ControlView;
import org.teaseltrestle.control.usage.UsageCopies;
import org.teaseltrestle.kernel.MonotonicClock;
import org.teaseltrestle.kernel.WallClock;
import org.teaseltrestle.model.ClientAccount;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.FailureDomain;
import org.teaseltrestle.model.InstanceId;
import org.teaseltrestle.model.ItemName;
import org.teaseltrestle.model.RequestId;
import org.teaseltrestle.model.TrestleException;
import org.teaseltrestle.node.port.RequestUsage;
import org.teaseltrestle.transport.MessageHandler;
import org.teaseltrestle.transport.PeerTransport;
import org.teaseltrestle.wire.Command;
import org.teaseltrestle.wire.CommandAnswer;
import org.teaseltrestle.wire.InstanceRecord;
import org.teaseltrestle.wire.RegisterInstance;
import org.teaseltrestle.wire.UsageCopy;
import org.teaseltrestle.wire.UsageCopyAnswer;
import org.testng.annotations.Test;

/** Tests of what is sent to the partner that holds copies, while no leader commits records. */
public final class UsageServiceTest {

  private static final int REQUESTS = 1_400;
  private static final int MAXIMUM_BYTES_A_REQUEST = 200;
  private static final List<String> PARTNERS = List.of("entry-2", "entry-3");

  private static UsageService service(PeerTransport transport) {
    return new UsageService(
        new InstanceId("entry-1"),
        new FailureDomain("caerdydd"),
        7,
        60,
        new NoLeader(),
        transport,
        record -> true,
        instance ->
            Optional.of(new InetSocketAddress("127.0.0.1", 1 + PARTNERS.indexOf(instance.value()))),
        MonotonicClock.SYSTEM,
        WallClock.SYSTEM);
  }

  private static void record(UsageService service, int number) {
    service.record(
        new RequestUsage(
            new RequestId("r" + number),
            new ClientAccount("yard-north"),
            new ItemName("pren-7b"),
            number,
            1,
            1_000));
  }

  /** Guards against copies that grow with each request until a leader commits them. */
  @Test
  public void copiesDoNotGrowWhileNothingIsCommitted() {
    Partners transport = new Partners();
    try (UsageService service = service(transport)) {
      service.start();
      for (int i = 0; i < REQUESTS; i++) {
        record(service, i);
      }
      assertEquals(transport.heldThrough("entry-2"), REQUESTS);
      long bytes = transport.bytes.get();
      assertTrue(bytes <= (long) MAXIMUM_BYTES_A_REQUEST * REQUESTS, bytes + " bytes");
    }
  }

  /** Guards against records that no instance holds after the partner has started anew. */
  @Test
  public void restartedPartnerHoldsEarlierRecordsAgain() {
    Partners transport = new Partners();
    try (UsageService service = service(transport)) {
      service.start();
      for (int i = 0; i < REQUESTS; i++) {
        if (i == REQUESTS / 2) {
          transport.restart("entry-2");
        }
        record(service, i);
      }
      assertEquals(transport.heldThrough("entry-2"), REQUESTS);
      assertEquals(transport.recordsHeld("entry-2"), REQUESTS);
    }
  }

  /** Guards against records that a partner of the version before, which reads no parts, lacks. */
  @Test
  public void partnerOfEarlierVersionHoldsAllRecords() {
    Partners transport = new Partners();
    transport.earlierVersion = true;
    try (UsageService service = service(transport)) {
      service.start();
      for (int i = 0; i < REQUESTS; i++) {
        record(service, i);
      }
      assertEquals(transport.recordsHeld("entry-2"), REQUESTS);
    }
  }

  /** Guards against parts that a partner does not read since it went back to the version before. */
  @Test
  public void partnerThatGoesBackToEarlierVersionHoldsAllRecords() {
    Partners transport = new Partners();
    try (UsageService service = service(transport)) {
      service.start();
      for (int i = 0; i < REQUESTS; i++) {
        if (i == REQUESTS / 2) {
          transport.restart("entry-2");
          transport.earlierVersion = true;
        }
        record(service, i);
      }
      assertEquals(transport.recordsHeld("entry-2"), REQUESTS);
    }
  }

  /** Guards against records that the next partner lacks after the first one is lost. */
  @Test
  public void nextPartnerHoldsEarlierRecords() {
    Partners transport = new Partners();
    try (UsageService service = service(transport)) {
      service.start();
      for (int i = 0; i < REQUESTS; i++) {
        if (i == REQUESTS / 2) {
          transport.lose("entry-2");
        }
        record(service, i);
      }
      assertEquals(transport.recordsHeld("entry-3"), REQUESTS);
    }
  }

  /** Control state with three instances and no leader. */
  private static final class NoLeader implements ControlGateway {

    private final ControlState state = new ControlState();

    NoLeader() {
      long index = 1;
      for (String instance : List.of("entry-1", "entry-2", "entry-3")) {
        InstanceRecord record =
            InstanceRecord.newBuilder()
                .setInstance(instance)
                .setFailureDomain("caerdydd")
                .setBoot(1)
                .build();
        state.apply(
            index++,
            Command.newBuilder()
                .setRequestId(instance)
                .setRegisterInstance(RegisterInstance.newBuilder().setInstance(record))
                .build());
      }
    }

    @Override
    public ControlView view() {
      return state.view();
    }

    @Override
    public CompletableFuture<CommandAnswer> propose(Command command) {
      return CompletableFuture.failedFuture(
          new TrestleException(ErrorCode.UNREACHABLE, "no leader"));
    }

    @Override
    public CompletableFuture<Long> confirmedIndex() {
      return new CompletableFuture<>();
    }

    @Override
    public CompletableFuture<List<String>> awaitedInstances(long index) {
      return new CompletableFuture<>();
    }

    @Override
    public boolean isReady() {
      return true;
    }

    @Override
    public OptionalLong knownAsOfNanos() {
      return OptionalLong.empty();
    }

    @Override
    public long keyLeaseEndsAtNanos() {
      return Long.MAX_VALUE;
    }
  }

  /** Transport to partners that hold copies in memory. */
  private static final class Partners implements PeerTransport {

    final AtomicLong bytes = new AtomicLong();
    volatile boolean earlierVersion;
    private final Map<String, UsageCopies> copies = new ConcurrentHashMap<>();

    Partners() {
      PARTNERS.forEach(this::restart);
    }

    void restart(String partner) {
      copies.put(partner, new UsageCopies());
    }

    void lose(String partner) {
      copies.remove(partner);
    }

    /** Returns the sequence number up to which a partner holds all records. */
    long heldThrough(String partner) {
      UsageCopy none =
          UsageCopy.newBuilder().setInstance("entry-1").setBoot(7).setFirstSequence(1).build();
      return copiesAt(partner).add(none, System.nanoTime());
    }

    /** Returns the number of records in the batch that a partner would commit. */
    long recordsHeld(String partner) {
      long later = System.nanoTime() + 60_000_000_000L;
      return copiesAt(partner).takeOverdueBatches(later).stream()
          .mapToLong(batch -> batch.getLastSequence() - batch.getFirstSequence() + 1)
          .sum();
    }

    private UsageCopies copiesAt(String partner) {
      return Objects.requireNonNull(copies.get(partner));
    }

    @Override
    public void register(String service, MessageHandler handler) {}

    @Override
    public boolean send(InetSocketAddress peer, String service, int kind, byte[] body) {
      return true;
    }

    @Override
    public CompletableFuture<byte[]> call(
        InetSocketAddress peer, String service, int kind, byte[] body, long deadlineNanos) {
      bytes.addAndGet(body.length);
      UsageCopies partner = copies.get(PARTNERS.get(peer.getPort() - 1));
      if (partner == null) {
        return CompletableFuture.failedFuture(
            new TrestleException(ErrorCode.UNREACHABLE, "partner is lost"));
      }
      try {
        UsageCopy copy = UsageCopy.parseFrom(body);
        if (earlierVersion) {
          copy = copy.toBuilder().clearPartFirstSequence().clearPartEntries().build();
        }
        long held = partner.add(copy, System.nanoTime());
        return CompletableFuture.completedFuture(
            UsageCopyAnswer.newBuilder()
                .setHeldThrough(held)
                .setReadsParts(!earlierVersion)
                .build()
                .toByteArray());
      } catch (InvalidProtocolBufferException e) {
        return CompletableFuture.failedFuture(e);
      }
    }

    @Override
    public void close() {}
  }
}
