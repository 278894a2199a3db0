package org.teaseltrestle.node.relay;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.protobuf.ByteString;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.control.ControlGateway;
import org.teaseltrestle.control.ControlState;
import org.teaseltrestle.control.ControlView;
import org.teaseltrestle.control.KeyVerifier;
import org.teaseltrestle.control.ServingDocument;
import org.teaseltrestle.kernel.WallClock;
import org.teaseltrestle.model.ClientAccount;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.ItemName;
import org.teaseltrestle.model.PlanName;
import org.teaseltrestle.model.PoolId;
import org.teaseltrestle.model.TrestleException;
import org.teaseltrestle.model.lists.ModelEntry;
import org.teaseltrestle.model.lists.Plan;
import org.teaseltrestle.model.lists.RoutePattern;
import org.teaseltrestle.model.lists.ServiceEntry;
import org.teaseltrestle.model.lists.ServingLists;
import org.teaseltrestle.wire.BackendServerRecord;
import org.teaseltrestle.wire.Command;
import org.teaseltrestle.wire.CommandAnswer;
import org.teaseltrestle.wire.EngineOrder;
import org.teaseltrestle.wire.IdempotencyRecord;
import org.teaseltrestle.wire.InstanceRecord;
import org.teaseltrestle.wire.KeyRecord;
import org.teaseltrestle.wire.LeftSoftwareVersion;
import org.teaseltrestle.wire.PlanChange;
import org.teaseltrestle.wire.PlatformOrder;
import org.teaseltrestle.wire.ServerLimit;
import org.teaseltrestle.wire.SuspectPromptPart;

/** In-memory control state with one account, service and key, and two models. */
final class StubControl implements ControlGateway, ControlView {

  private static final KeyVerifier.IssuedKey ISSUED =
      KeyVerifier.issue(new ClientAccount("yard"), "test", "0123456789".repeat(8).getBytes(UTF_8));
  static final String KEY = ISSUED.apiKey().reveal();

  final List<Command> proposed = new CopyOnWriteArrayList<>();
  final AtomicInteger refusedProposals = new AtomicInteger();
  final List<PlanChange> changes = new CopyOnWriteArrayList<>();
  private final Map<String, IdempotencyRecord> claims = new ConcurrentHashMap<>();
  volatile boolean ready = true;
  volatile boolean reachable = true;
  volatile boolean withdrawn;
  volatile long listsRevision = 1;

  /** Time as of which all committed entries are known, null while that is now. */
  volatile @Nullable OptionalLong knownAsOfNanos;

  volatile boolean hasPlan = true;
  volatile long leaseEndsAtNanos = System.nanoTime() + 3_600_000_000_000L;
  volatile ByteString document = ByteString.EMPTY;
  volatile long documentVersion = 1;
  private final ControlState state = new ControlState();
  private final AtomicLong reportedAtMillis = new AtomicLong();
  private volatile long index = 1;
  private volatile Collection<SuspectPromptPart> suspects = List.of();
  private volatile Collection<ServerLimit> limits = List.of();
  volatile Collection<InstanceRecord> instances = List.of();
  volatile Collection<LeftSoftwareVersion> leftVersions = List.of();

  /** Wall clock on which each report is made at a moment of its own. */
  final WallClock reportTimes = () -> reportedAtMillis.addAndGet(1_000);

  synchronized void withdraw() {
    withdrawn = true;
    index++;
  }

  @Override
  public Collection<ServerLimit> serverLimits() {
    return limits;
  }

  @Override
  public Collection<SuspectPromptPart> suspectPromptParts() {
    return suspects;
  }

  @Override
  public ServingDocument servingDocument() {
    return document.isEmpty()
        ? ServingDocument.NONE
        : new ServingDocument(documentVersion, document, documentVersion);
  }

  @Override
  public CompletableFuture<List<String>> awaitedInstances(long atIndex) {
    return CompletableFuture.completedFuture(List.of());
  }

  @Override
  public CompletableFuture<Long> confirmedIndex() {
    return CompletableFuture.completedFuture(appliedIndex());
  }

  @Override
  public ControlView view() {
    return this;
  }

  @Override
  public synchronized CompletableFuture<CommandAnswer> propose(Command command) {
    if (!reachable) {
      refusedProposals.incrementAndGet();
      return CompletableFuture.failedFuture(
          new TrestleException(ErrorCode.UNREACHABLE, "no leader"));
    }
    proposed.add(command);
    CommandAnswer.Builder answer =
        CommandAnswer.newBuilder().setStatus(CommandAnswer.Status.ACCEPTED);
    if (command.hasReportPromptParts()) {
      state.apply(++index, command);
      suspects = state.view().suspectPromptParts();
    } else if (command.hasReportServerLimit()) {
      answer = state.apply(++index, command).toBuilder();
      limits = state.view().serverLimits();
    } else if (command.hasClaimIdempotency()) {
      IdempotencyRecord requestedClaim = command.getClaimIdempotency().getClaim();
      IdempotencyRecord existing =
          claims.putIfAbsent(requestedClaim.getIdempotencyKey(), requestedClaim);
      if (existing != null) {
        answer.setStatus(CommandAnswer.Status.CONFLICT).setClaim(existing);
      }
    } else {
      IdempotencyRecord outcome = command.getRecordOutcome().getOutcome();
      if (outcome.getState() == IdempotencyRecord.State.NOT_RUN) {
        claims.remove(outcome.getIdempotencyKey());
      } else {
        claims.put(outcome.getIdempotencyKey(), outcome);
      }
    }
    return CompletableFuture.completedFuture(answer.build());
  }

  @Override
  public boolean isReady() {
    return ready;
  }

  @Override
  public OptionalLong knownAsOfNanos() {
    OptionalLong set = knownAsOfNanos;
    return set == null ? OptionalLong.of(System.nanoTime()) : set;
  }

  @Override
  public long keyLeaseEndsAtNanos() {
    return leaseEndsAtNanos;
  }

  @Override
  public long appliedIndex() {
    return index;
  }

  @Override
  public long listsRevision() {
    return listsRevision;
  }

  @Override
  public ServingLists lists() {
    Map<PlanName, Plan> plans = new HashMap<>();
    plans.put(
        new PlanName("large"),
        new Plan(
            new PlanName("large"),
            1,
            3,
            1e9,
            1e9,
            1e6,
            1_000,
            20_000,
            20_000,
            Set.of(new ItemName("pren-7b")),
            Set.of(new ItemName("iard")),
            Plan.CheapCapacity.NEVER));
    return new ServingLists(
        hasPlan ? Map.of(new ClientAccount("yard"), new PlanName("large")) : Map.of(),
        plans,
        Map.of(
            new ItemName("pren-7b"),
            new ModelEntry(new ItemName("pren-7b"), new PoolId("models"), 1, 4),
            new ItemName("other"),
            new ModelEntry(new ItemName("other"), new PoolId("models"), 1, 4)),
        Map.of(
            new ItemName("iard"),
            new ServiceEntry(
                new ItemName("iard"),
                new PoolId("services"),
                List.of(RoutePattern.parse("GET /opening-hours")),
                List.of(),
                List.of(RoutePattern.parse("DELETE /once")))));
  }

  @Override
  public String accountsJson() {
    return "";
  }

  @Override
  public String plansJson() {
    return "";
  }

  @Override
  public Optional<KeyRecord> key(String keyId) {
    return Optional.of(ISSUED.record().toBuilder().setWithdrawnAtMillis(withdrawn ? 5 : 0).build())
        .filter(key -> key.getKeyId().equals(keyId));
  }

  @Override
  public Collection<KeyRecord> keys() {
    return List.of();
  }

  @Override
  public Collection<InstanceRecord> instances() {
    return instances;
  }

  @Override
  public Collection<BackendServerRecord> backendServers() {
    return List.of();
  }

  @Override
  public Collection<PlanChange> plannedChanges() {
    return changes;
  }

  @Override
  public Collection<EngineOrder> openEngineOrders() {
    return List.of();
  }

  @Override
  public Collection<PlatformOrder> openPlatformOrders() {
    return List.of();
  }

  @Override
  public Collection<LeftSoftwareVersion> leftSoftwareVersions() {
    return leftVersions;
  }
}
