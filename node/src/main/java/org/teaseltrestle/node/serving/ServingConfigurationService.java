package org.teaseltrestle.node.serving;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Function;
import java.util.zip.CRC32C;
import org.teaseltrestle.control.ControlGateway;
import org.teaseltrestle.control.ServingDocument;
import org.teaseltrestle.kernel.EventLog;
import org.teaseltrestle.kernel.MonotonicClock;
import org.teaseltrestle.kernel.WallClock;
import org.teaseltrestle.model.TrestleException;
import org.teaseltrestle.model.serving.ConfigurationProblem;
import org.teaseltrestle.model.serving.ServingConfiguration;
import org.teaseltrestle.wire.Command;
import org.teaseltrestle.wire.CommandAnswer;
import org.teaseltrestle.wire.PublishConfiguration;

/** Publishes serving configurations and reads the one that a quorum confirms as committed. */
public final class ServingConfigurationService {

  private static final EventLog LOG = EventLog.of(ServingConfigurationService.class);
  private static final long POLL_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(2);

  /** Time between two questions to the leader whether a change is in force. */
  private static final long QUESTION_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

  private final ControlGateway control;
  private final Function<byte[], ServingConfiguration> parser;
  private final Function<ConfigurationProblem, String> describer;
  private final MonotonicClock clock;
  private final WallClock wallClock;
  private final long responseTimeoutNanos;

  /** Outcome of publishing a configuration. */
  public enum Outcome {
    /** The configuration, or one with the same or a higher version, is committed and in force. */
    ACCEPTED,
    /** The configuration is invalid and will never be in effect. */
    INVALID,
    /** Not known to be in force in time: it may be committed already; it is safe to retry. */
    UNKNOWN
  }

  /**
   * Result of publishing a configuration.
   *
   * @param problems why the configuration is invalid, empty unless it is
   */
  public record PublishResult(Outcome outcome, List<String> problems) {

    /** Copies the list. */
    public PublishResult {
      problems = List.copyOf(problems);
    }
  }

  /**
   * Creates the service.
   *
   * @param parser parses a document; throws a {@link TrestleException} if any part cannot be parsed
   * @param describer describes a problem with the path of the field in the document
   * @param responseTimeoutNanos longest time that a call waits for a quorum, in nanoseconds
   */
  public ServingConfigurationService(
      ControlGateway control,
      Function<byte[], ServingConfiguration> parser,
      Function<ConfigurationProblem, String> describer,
      MonotonicClock clock,
      WallClock wallClock,
      long responseTimeoutNanos) {
    this.control = control;
    this.parser = parser;
    this.describer = describer;
    this.clock = clock;
    this.wallClock = wallClock;
    this.responseTimeoutNanos = responseTimeoutNanos;
  }

  /**
   * Validates a configuration, commits it and waits until it is in force at all instances that the
   * leader hears of; a lower or equal version has no effect. An instance that goes on running obeys
   * an accepted configuration, whatever happens to the leader.
   */
  public PublishResult publish(byte[] document) {
    ServingConfiguration parsed;
    try {
      parsed = parser.apply(document);
    } catch (TrestleException e) {
      return invalid(0, List.of(String.valueOf(e.getMessage())));
    }
    List<String> problems = parsed.problems().stream().map(describer).toList();
    if (!problems.isEmpty()) {
      return invalid(parsed.version(), problems);
    }
    long receivedAtNanos = clock.nowNanos();
    long deadlineNanos = receivedAtNanos + responseTimeoutNanos;
    long index = commit(parsed.version(), document, deadlineNanos).orElse(0L);
    List<String> awaited = index == 0 ? List.of() : awaitInForce(index, deadlineNanos);
    Outcome outcome = index > 0 && awaited.isEmpty() ? Outcome.ACCEPTED : Outcome.UNKNOWN;
    LOG.info(
        ServingEvent.CONFIGURATION_ANSWERED,
        "version",
        parsed.version(),
        "outcome",
        outcome,
        "index",
        index,
        "awaited",
        awaited,
        "afterMillis",
        TimeUnit.NANOSECONDS.toMillis(clock.nowNanos() - receivedAtNanos));
    return new PublishResult(outcome, List.of());
  }

  /**
   * Returns the configuration in effect; empty if there is none or if no quorum confirms in time
   * which one it is.
   */
  public Optional<ServingDocument> read() {
    long deadlineNanos = clock.nowNanos() + responseTimeoutNanos;
    Optional<Long> index = await(control.confirmedIndex(), deadlineNanos);
    while (index.isPresent() && control.view().appliedIndex() < index.get()) {
      if (clock.nowNanos() - deadlineNanos >= 0) {
        return Optional.empty();
      }
      LockSupport.parkNanos(POLL_INTERVAL_NANOS);
    }
    Optional<ServingDocument> document =
        index.map(confirmed -> control.view().servingDocument()).filter(ServingDocument::isPresent);
    LOG.info(
        ServingEvent.READ_ANSWERED,
        "confirmed",
        index.orElse(0L),
        "version",
        document.map(ServingDocument::version).orElse(0L));
    return document;
  }

  private static PublishResult invalid(long version, List<String> problems) {
    LOG.warn(
        ServingEvent.CONFIGURATION_REFUSED, "version", version, "problems", problems.toString());
    return new PublishResult(Outcome.INVALID, problems);
  }

  /** Returns the log index of the committed change, empty if it is not known in time. */
  private Optional<Long> commit(long version, byte[] document, long deadlineNanos) {
    CRC32C digest = new CRC32C();
    digest.update(document);
    Command command =
        Command.newBuilder()
            .setRequestId("configuration/" + version + "/" + Long.toHexString(digest.getValue()))
            .setProposedAtMillis(wallClock.nowMillis())
            .setPublishConfiguration(
                PublishConfiguration.newBuilder()
                    .setVersion(version)
                    .setDocument(ByteString.copyFrom(document)))
            .build();
    return await(control.propose(command), deadlineNanos)
        .filter(answer -> answer.getStatus() == CommandAnswer.Status.ACCEPTED)
        .map(CommandAnswer::getAppliedIndex);
  }

  /** Waits for a change and returns the instances that do not obey it by the deadline. */
  private List<String> awaitInForce(long index, long deadlineNanos) {
    List<String> awaited = List.of("leader");
    while (clock.nowNanos() - deadlineNanos < 0) {
      awaited = await(control.awaitedInstances(index), deadlineNanos).orElse(awaited);
      if (awaited.isEmpty()) {
        break;
      }
      LockSupport.parkNanos(QUESTION_INTERVAL_NANOS);
    }
    return awaited;
  }

  private <T> Optional<T> await(CompletableFuture<T> future, long deadlineNanos) {
    try {
      return Optional.of(
          future.get(Math.max(0, deadlineNanos - clock.nowNanos()), TimeUnit.NANOSECONDS));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return Optional.empty();
    } catch (ExecutionException | TimeoutException e) {
      // Without a response the outcome is unknown; the caller logs and returns that.
      return Optional.empty();
    }
  }
}
