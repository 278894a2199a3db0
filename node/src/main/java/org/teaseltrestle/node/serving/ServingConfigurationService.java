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

  private final ControlGateway control;
  private final Function<byte[], ServingConfiguration> parser;
  private final Function<ConfigurationProblem, String> describer;
  private final MonotonicClock clock;
  private final WallClock wallClock;
  private final long responseTimeoutNanos;

  /** Outcome of publishing a configuration. */
  public enum Outcome {
    /** The configuration, or one with the same or a higher version, is committed. */
    ACCEPTED,
    /** The configuration is invalid and will never be in effect. */
    INVALID,
    /** No response in time: the configuration may still be committed; it is safe to retry. */
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

  /** Validates a configuration and commits it; a lower or equal version has no effect. */
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
    Outcome outcome = commit(parsed.version(), document);
    LOG.info(ServingEvent.CONFIGURATION_ANSWERED, "version", parsed.version(), "outcome", outcome);
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

  private Outcome commit(long version, byte[] document) {
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
    return await(control.propose(command), clock.nowNanos() + responseTimeoutNanos)
        .filter(answer -> answer.getStatus() == CommandAnswer.Status.ACCEPTED)
        .map(answer -> Outcome.ACCEPTED)
        .orElse(Outcome.UNKNOWN);
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
