package org.teaseltrestle.control;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.teaseltrestle.wire.CommandAnswer;
import org.teaseltrestle.wire.ControlSnapshot;
import org.teaseltrestle.wire.LostPromptParts;
import org.teaseltrestle.wire.ReportPromptParts;
import org.teaseltrestle.wire.ServerLoss;
import org.teaseltrestle.wire.SuspectPromptPart;

/**
 * Requests and prompt parts that ran at lost backend servers. A suspect that crashes servers is
 * never answered, so an answer clears it; those that only ran beside it are soon answered
 * elsewhere.
 */
final class SuspectPartsArea {

  /** Maximum number of suspects; beyond it, the ones with the fewest losses are forgotten. */
  static final int CAPACITY = 1_024;

  /**
   * Losses closer together than this count once, unless the request was sent after the earlier one:
   * a failure domain that loses power, or an instance whose connections are reset, ends many
   * servers' requests at one moment.
   */
  static final long SAME_MOMENT_MILLIS = 200;

  /** All instances report the loss of a server within this time, and it does not restart sooner. */
  static final long SAME_LOSS_MILLIS = 2_000;

  /** Time by which the recorded times of a loss and of the retry that it causes may differ. */
  private static final long ROUNDING_MILLIS = 5;

  /** Time after the last loss after which a suspect with few losses is forgotten. */
  static final long RETENTION_MILLIS = TimeUnit.MINUTES.toMillis(10);

  /** The same for a suspect with so many losses that its requests are refused. */
  static final long QUARANTINE_RETENTION_MILLIS = TimeUnit.DAYS.toMillis(1);

  private static final int QUARANTINE_LOSSES = 3;
  private static final int RETAINED_LOSSES = 4;
  private static final String SUBJECT = "prompt parts";

  private PersistentMap<Long, SuspectPromptPart> suspects = PersistentMap.empty();

  PersistentMap<Long, SuspectPromptPart> suspects() {
    return suspects;
  }

  CommandAnswer.Builder report(ReportPromptParts report, CommandContext context) {
    forgetOld(context.proposedAtMillis());
    for (LostPromptParts lost : report.getLostList()) {
      boolean isDated = lost.getLostAtMillis() != 0;
      ServerLoss loss =
          ServerLoss.newBuilder()
              .setBackendServer(lost.getBackendServer())
              .setReportedAtMillis(isDated ? lost.getLostAtMillis() : context.proposedAtMillis())
              .build();
      long sentAtMillis = isDated ? lost.getSentAtMillis() : Long.MIN_VALUE;
      lost.getPartsList().forEach(part -> count(part, loss, sentAtMillis, context.index()));
    }
    report.getAnsweredPartsList().forEach(part -> suspects = suspects.without(part));
    while (suspects.size() > CAPACITY) {
      evict();
    }
    return CommandAnswers.accepted(SUBJECT);
  }

  void save(ControlSnapshot.Builder snapshot) {
    snapshot.addAllSuspectPromptParts(suspects.values());
  }

  void load(ControlSnapshot snapshot) {
    for (SuspectPromptPart suspect : snapshot.getSuspectPromptPartsList()) {
      suspects = suspects.with(suspect.getPart(), suspect);
    }
  }

  private void count(long part, ServerLoss loss, long sentAtMillis, long index) {
    Optional<SuspectPromptPart> known = suspects.get(part);
    if (known.isPresent()
        && known.get().getLatestList().stream()
            .anyMatch(earlier -> covers(earlier, loss, sentAtMillis))) {
      return;
    }
    SuspectPromptPart suspect = known.orElse(SuspectPromptPart.newBuilder().setPart(part).build());
    List<ServerLoss> latest =
        Stream.concat(suspect.getLatestList().stream(), Stream.of(loss))
            .skip(Math.max(0, suspect.getLatestCount() + 1 - RETAINED_LOSSES))
            .toList();
    suspects =
        suspects.with(
            part,
            suspect.toBuilder()
                .setLosses(suspect.getLosses() + 1)
                .clearLatest()
                .addAllLatest(latest)
                .setChangedIndex(index)
                .build());
  }

  // The distance and not the order of the times matters: the reporters' clocks may differ or jump.
  private static boolean covers(ServerLoss earlier, ServerLoss loss, long sentAtMillis) {
    long distance = Math.abs(loss.getReportedAtMillis() - earlier.getReportedAtMillis());
    boolean sentAfter = sentAtMillis >= earlier.getReportedAtMillis() - ROUNDING_MILLIS;
    return (distance < SAME_MOMENT_MILLIS && !sentAfter)
        || (distance < SAME_LOSS_MILLIS
            && earlier.getBackendServer().equals(loss.getBackendServer()));
  }

  private void forgetOld(long nowMillis) {
    for (SuspectPromptPart suspect : List.copyOf(suspects.values())) {
      long lastLoss = suspect.getLatest(suspect.getLatestCount() - 1).getReportedAtMillis();
      boolean refused = suspect.getLosses() >= QUARANTINE_LOSSES;
      if (nowMillis - lastLoss > (refused ? QUARANTINE_RETENTION_MILLIS : RETENTION_MILLIS)) {
        suspects = suspects.without(suspect.getPart());
      }
    }
  }

  private void evict() {
    suspects.values().stream()
        .min(
            Comparator.comparingInt(SuspectPromptPart::getLosses)
                .thenComparingLong(SuspectPromptPart::getChangedIndex)
                .thenComparingLong(SuspectPromptPart::getPart))
        .ifPresent(suspect -> suspects = suspects.without(suspect.getPart()));
  }
}
