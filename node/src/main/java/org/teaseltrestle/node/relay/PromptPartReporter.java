package org.teaseltrestle.node.relay;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.control.ControlGateway;
import org.teaseltrestle.kernel.EventLog;
import org.teaseltrestle.kernel.WallClock;
import org.teaseltrestle.policy.AdmissionAction;
import org.teaseltrestle.wire.Command;
import org.teaseltrestle.wire.LostPromptParts;
import org.teaseltrestle.wire.ReportPromptParts;

/**
 * Commits what this instance sees of requests and prompt parts that may crash servers, one command
 * at a time; what is added meanwhile goes out with the next one. A command that failed is sent
 * again unchanged. Confined to the admission thread, except for the answers to commands.
 */
final class PromptPartReporter {

  private static final EventLog LOG = EventLog.of(PromptPartReporter.class);

  /** Maximum number of lost requests, and of answered parts, that wait to be reported. */
  private static final int MAXIMUM_PENDING = 256;

  private final WallClock wallClock;
  private final CommandSender sender;
  private final Counter losses;
  private final Counter answers;
  private final List<LostPromptParts> lost = new ArrayList<>();
  private final Set<Long> answered = new LinkedHashSet<>();

  PromptPartReporter(ControlGateway control, WallClock wallClock, MetricRegistry metrics) {
    this.wallClock = wallClock;
    this.sender = new CommandSender(control, RelayEvent.PROMPT_PARTS_NOT_REPORTED, () -> {});
    this.losses = metrics.counter("prompt_parts.lost");
    this.answers = metrics.counter("prompt_parts.answered");
  }

  /** Adds the parts of a request whose server was lost. */
  void add(AdmissionAction.ReportLostParts report) {
    losses.inc(report.parts().size());
    if (lost.size() < MAXIMUM_PENDING) {
      long lostAtMillis = wallClock.nowMillis();
      lost.add(
          LostPromptParts.newBuilder()
              .setBackendServer(report.server().value())
              .addAllParts(report.parts())
              .setLostAtMillis(lostAtMillis)
              .setSentAtMillis(lostAtMillis - TimeUnit.NANOSECONDS.toMillis(report.ranNanos()))
              .build());
    } else {
      LOG.warn(RelayEvent.PROMPT_PARTS_DROPPED, "server", report.server());
    }
  }

  /** Adds suspected parts of a request that was answered. */
  void add(AdmissionAction.ReportAnsweredParts report) {
    answers.inc(report.parts().size());
    if (answered.size() < MAXIMUM_PENDING) {
      answered.addAll(report.parts());
    } else {
      LOG.warn(RelayEvent.PROMPT_PARTS_DROPPED, "parts", hexadecimal(report.parts()));
    }
  }

  /** Sends what has been added, unless an earlier command is still running. */
  void flush(long nowNanos) {
    sender.flush(nowNanos, this::nextCommand);
  }

  private @Nullable Command nextCommand() {
    if (lost.isEmpty() && answered.isEmpty()) {
      return null;
    }
    ReportPromptParts.Builder report = ReportPromptParts.newBuilder();
    report.addAllLost(lost);
    report.addAllAnsweredParts(answered);
    LOG.info(
        RelayEvent.PROMPT_PARTS_REPORTED,
        "servers",
        lost.stream().map(LostPromptParts::getBackendServer).distinct().toList(),
        "answered",
        hexadecimal(answered));
    lost.clear();
    answered.clear();
    return Command.newBuilder()
        .setRequestId("prompt-parts/" + UUID.randomUUID())
        .setProposedAtMillis(wallClock.nowMillis())
        .setReportPromptParts(report)
        .build();
  }

  private static List<String> hexadecimal(Iterable<Long> parts) {
    List<String> texts = new ArrayList<>();
    parts.forEach(part -> texts.add(Long.toHexString(part)));
    return texts;
  }
}
