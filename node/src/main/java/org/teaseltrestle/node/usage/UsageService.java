package org.teaseltrestle.node.usage;

import com.google.protobuf.InvalidProtocolBufferException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.control.ControlGateway;
import org.teaseltrestle.control.usage.CopyProgress;
import org.teaseltrestle.control.usage.UsageCopies;
import org.teaseltrestle.control.usage.UsageJournal;
import org.teaseltrestle.kernel.DutyThread;
import org.teaseltrestle.kernel.EventLog;
import org.teaseltrestle.kernel.MonotonicClock;
import org.teaseltrestle.kernel.WallClock;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.FailureDomain;
import org.teaseltrestle.model.InstanceId;
import org.teaseltrestle.model.TrestleException;
import org.teaseltrestle.node.port.RequestUsage;
import org.teaseltrestle.node.port.UsageRecorder;
import org.teaseltrestle.transport.PeerTransport;
import org.teaseltrestle.wire.Command;
import org.teaseltrestle.wire.CommandAnswer;
import org.teaseltrestle.wire.Envelope;
import org.teaseltrestle.wire.InstanceRecord;
import org.teaseltrestle.wire.UsageBatch;
import org.teaseltrestle.wire.UsageCopy;
import org.teaseltrestle.wire.UsageCopyAnswer;
import org.teaseltrestle.wire.UsageEntry;

/**
 * Records the usage of requests: copies each record to a partner instance before the last chunk of
 * the response is released to the caller, and commits the sums every second. Registered as service
 * {@value #NAME}.
 */
public final class UsageService implements UsageRecorder, AutoCloseable {

  /** Name of the duty and of the service for messages between nodes. */
  public static final String NAME = "usage";

  private static final EventLog LOG = EventLog.of(UsageService.class);
  private static final int RING_CAPACITY = 8_192;
  private static final int COPY_KIND = 1;
  private static final long TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
  private static final long IDLE_TICK_NANOS = TimeUnit.SECONDS.toNanos(1);
  private static final long COPY_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
  private static final long FAILED_PARTNER_AVOIDANCE_NANOS = TimeUnit.SECONDS.toNanos(5);
  private static final long COMMIT_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(2);
  private static final long RELEASE_TIMEOUT_MILLISECONDS = 250;
  private static final long FLUSH_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(3);

  private final InstanceId instance;
  private final long boot;
  private final long windowMillis;
  private final ControlGateway control;
  private final PeerTransport transport;
  private final Function<InstanceId, Optional<InetSocketAddress>> addresses;
  private final MonotonicClock clock;
  private final WallClock wallClock;
  private final PartnerSelector partners;
  private final UsageJournal journal;
  private final CopyProgress copyProgress;
  private final UsageCopies copies = new UsageCopies();
  private final Deque<PendingRelease> pendingReleases = new ArrayDeque<>();
  private final CompletableFuture<Void> flushed = new CompletableFuture<>();
  private final DutyThread<Runnable> duty;
  private @Nullable InstanceId partner;
  private long copiedThrough;
  private boolean copyRunning;
  private boolean commitRunning;
  private long nextCommitNanos;
  private volatile boolean flushing;

  /**
   * Creates the service; {@link #start()} starts it.
   *
   * @param windowSeconds duration of a usage window in seconds
   * @param holdsCopies whether an instance holds copies of usage records of others
   * @param addresses returns the peer address of an instance, if known
   */
  public UsageService(
      InstanceId instance,
      FailureDomain failureDomain,
      long boot,
      long windowSeconds,
      ControlGateway control,
      PeerTransport transport,
      Predicate<InstanceRecord> holdsCopies,
      Function<InstanceId, Optional<InetSocketAddress>> addresses,
      MonotonicClock clock,
      WallClock wallClock) {
    this.instance = instance;
    this.boot = boot;
    this.windowMillis = TimeUnit.SECONDS.toMillis(windowSeconds);
    this.control = control;
    this.transport = transport;
    this.addresses = addresses;
    this.clock = clock;
    this.wallClock = wallClock;
    this.partners = new PartnerSelector(instance, failureDomain, holdsCopies);
    this.journal = new UsageJournal(instance.value(), boot);
    this.copyProgress = new CopyProgress(instance.value(), boot);
    this.nextCommitNanos = clock.nowNanos();
    this.duty =
        new DutyThread<>(
            NAME, RING_CAPACITY, Runnable::run, this::tick, this::nextTickNanos, clock);
  }

  /** Starts the duty and begins to accept copies from other instances. */
  public void start() {
    transport.register(NAME, this::onMessage);
    duty.start();
  }

  @Override
  public void record(RequestUsage usage) {
    CompletableFuture<Void> released = new CompletableFuture<>();
    while (!duty.offer(() -> appendAndCopy(usage, released))) {
      Thread.onSpinWait();
    }
    try {
      released.get(RELEASE_TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS);
    } catch (TimeoutException e) {
      LOG.warn(UsageEvent.RECORD_WITHOUT_COPY, "request", usage.request());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (ExecutionException e) {
      throw new TrestleException(ErrorCode.INTERNAL, "usage could not be recorded", e);
    }
  }

  @Override
  public void recordStarted(RequestUsage started) {
    if (!duty.offer(() -> append(started, new CompletableFuture<>()))) {
      LOG.warn(UsageEvent.RECORD_DROPPED, "request", started.request());
    }
  }

  /** Commits the remaining records, if a leader can be reached in time, and stops. */
  @Override
  public void close() {
    flushing = true;
    // Wakes the duty, which now ticks at once; a full ring means that it is awake.
    boolean unused = duty.offer(() -> {});
    try {
      flushed.get(FLUSH_TIMEOUT_NANOS, TimeUnit.NANOSECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (ExecutionException | TimeoutException e) {
      LOG.warn(UsageEvent.FLUSH_INCOMPLETE);
    }
    duty.close();
  }

  private void appendAndCopy(RequestUsage usage, CompletableFuture<Void> released) {
    append(usage, released);
    copyToPartner();
  }

  /** Appends a record; unless a caller waits for its copy, the next tick copies it. */
  private void append(RequestUsage usage, CompletableFuture<Void> released) {
    long sequence =
        journal.append(
            UsageEntry.newBuilder()
                .setAccount(usage.account().value())
                .setItem(usage.item().value())
                .setPromptTokens(usage.promptTokens())
                .setOutputTokens(usage.outputTokens())
                .setWindow(usage.completedAtMillis() / windowMillis)
                .build());
    pendingReleases.add(new PendingRelease(sequence, released));
  }

  private long nextTickNanos(long lastTickNanos) {
    boolean idle = !flushing && journal.isEmpty() && copies.isEmpty();
    return lastTickNanos + (idle ? IDLE_TICK_NANOS : TICK_NANOS);
  }

  private void tick(long nowNanos) {
    copyToPartner();
    if (flushing && journal.isEmpty()) {
      flushed.complete(null);
    }
    if (!commitRunning && (flushing || nowNanos - nextCommitNanos >= 0)) {
      nextCommitNanos = nowNanos + COMMIT_INTERVAL_NANOS;
      journal.nextBatch().ifPresent(this::commitOwn);
    }
    for (UsageBatch batch : copies.takeOverdueBatches(nowNanos)) {
      LOG.info(UsageEvent.TAKEOVER, "instance", batch.getInstance());
      commitForOtherInstance(batch);
    }
  }

  private void copyToPartner() {
    if (copyRunning || journal.lastSequence() <= copiedThrough) {
      return;
    }
    long now = clock.nowNanos();
    Optional<InstanceId> chosen = partners.select(control.view().instances(), now);
    Optional<InetSocketAddress> address = chosen.flatMap(addresses);
    if (address.isEmpty()) {
      release(journal.lastSequence());
      return;
    }
    copyRunning = true;
    partner = chosen.get();
    UsageCopy copy = copyProgress.copyFor(partner.value(), journal);
    transport
        .call(address.get(), NAME, COPY_KIND, copy.toByteArray(), now + COPY_TIMEOUT_NANOS)
        .whenComplete((body, failure) -> duty.offer(() -> onCopyResponse(body, failure)));
  }

  private void onCopyResponse(byte @Nullable [] body, @Nullable Throwable failure) {
    copyRunning = false;
    if (body == null || failure != null) {
      LOG.warn(UsageEvent.COPY_FAILED, "partner", partner);
      if (partner != null) {
        partners.avoid(partner, clock.nowNanos() + FAILED_PARTNER_AVOIDANCE_NANOS);
      }
    } else {
      try {
        UsageCopyAnswer answer = UsageCopyAnswer.parseFrom(body);
        copyProgress.answered(answer);
        copiedThrough = Math.max(copiedThrough, answer.getHeldThrough());
        release(copiedThrough);
      } catch (InvalidProtocolBufferException e) {
        throw new TrestleException(
            ErrorCode.MALFORMED_MESSAGE, "malformed response to a usage copy", e);
      }
    }
    copyToPartner();
  }

  private void release(long through) {
    while (!pendingReleases.isEmpty() && pendingReleases.element().sequence() <= through) {
      pendingReleases.remove().released().complete(null);
    }
  }

  private void commitOwn(UsageBatch batch) {
    commitRunning = true;
    propose(
        batch,
        answer -> {
          commitRunning = false;
          if (answer != null) {
            journal.markCommittedThrough(answer.getLastSequence());
            release(answer.getLastSequence());
            notifyPartner();
          }
        });
  }

  /** Notifies the partner of the committed records, so that it does not take over from this one. */
  private void notifyPartner() {
    if (partner == null || !journal.isEmpty()) {
      return;
    }
    UsageCopy committed =
        UsageCopy.newBuilder()
            .setInstance(instance.value())
            .setBoot(boot)
            .setFirstSequence(journal.firstUncommitted())
            .build();
    addresses
        .apply(partner)
        .ifPresent(address -> transport.send(address, NAME, COPY_KIND, committed.toByteArray()));
  }

  private void commitForOtherInstance(UsageBatch batch) {
    propose(
        batch,
        answer -> {
          if (answer != null) {
            copies.markCommittedThrough(
                batch.getInstance(), batch.getBoot(), answer.getLastSequence(), clock.nowNanos());
          }
        });
  }

  private void propose(UsageBatch batch, Consumer<@Nullable CommandAnswer> onAnswer) {
    Command command =
        Command.newBuilder()
            .setRequestId(requestId(batch))
            .setProposedAtMillis(wallClock.nowMillis())
            .setUsageBatch(batch)
            .build();
    control
        .propose(command)
        .whenComplete((answer, failure) -> duty.offer(() -> onAnswer.accept(answer)));
  }

  private static String requestId(UsageBatch batch) {
    return "usage/"
        + batch.getInstance()
        + "/"
        + Long.toHexString(batch.getBoot())
        + "/"
        + batch.getFirstSequence()
        + "-"
        + batch.getLastSequence();
  }

  private void onMessage(Envelope message, Consumer<byte[]> reply) {
    try {
      UsageCopy copy = UsageCopy.parseFrom(message.getBody());
      duty.offer(
          () -> {
            long held = copies.add(copy, clock.nowNanos());
            reply.accept(
                UsageCopyAnswer.newBuilder()
                    .setHeldThrough(held)
                    .setReadsParts(true)
                    .build()
                    .toByteArray());
          });
    } catch (InvalidProtocolBufferException e) {
      throw new TrestleException(ErrorCode.MALFORMED_MESSAGE, "malformed usage copy", e);
    }
  }

  private record PendingRelease(long sequence, CompletableFuture<Void> released) {}
}
