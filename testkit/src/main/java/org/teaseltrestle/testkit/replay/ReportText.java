package org.teaseltrestle.testkit.replay;

import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Formats a report as text. */
public final class ReportText {

  private static final int FAILURES_SHOWN = 20;

  private ReportText() {}

  /** Returns the report as lines of text. */
  public static String of(ReplayReport report) {
    StringBuilder text = new StringBuilder();
    appendLine(text, "requests            %d in %.1f s", report.requests(), report.seconds());
    appendLine(text, "outcomes            %s", report.outcomes());
    appendLine(
        text,
        "good answers        %d of %d model requests, %.2f a second",
        report.goodAnswers(),
        report.modelRequests(),
        report.goodputPerSecond());
    appendPercentiles(text, "first token (ms)    ", report.firstToken());
    appendPercentiles(text, "between tokens (ms) ", report.betweenTokens());
    appendLine(text, "refusals seen       %s", report.refusals());
    appendLine(text, "node counters       %s", report.counters());
    appendLine(
        text, "changes run once    %d of %d", report.changesOnce(), report.changesExpected());
    appendLine(text, "attempts a request  %.3f", report.attemptsPerRequest());
    appendLine(text, "server seconds      %s", rounded(report.serverSeconds()));
    appendLine(text, "role changes        %s", report.roleChanges());
    appendAccounts(text, report.accounts());
    appendFailures(text, report.failures());
    return text.toString();
  }

  private static void appendAccounts(
      StringBuilder text, List<ReplayReport.AccountFigures> accounts) {
    appendLine(text, "");
    appendLine(
        text,
        "%-20s %8s %9s %6s %8s %7s %7s %12s",
        "account",
        "requests",
        "completed",
        "good",
        "refused",
        "failed",
        "share",
        "first p95 ms");
    for (ReplayReport.AccountFigures figures : accounts) {
      appendLine(
          text,
          "%-20s %8d %9d %6d %8d %7d %7.3f %12.0f",
          figures.account(),
          figures.requests(),
          figures.completed(),
          figures.good(),
          figures.refused(),
          figures.failed(),
          figures.goodShare(),
          figures.firstToken95Millis());
    }
    if (!accounts.isEmpty()) {
      appendLine(text, "worst served        %s", accounts.get(0).account());
    }
  }

  private static void appendFailures(StringBuilder text, List<String> failures) {
    appendLine(text, "");
    appendLine(text, "missed expectations %d", failures.size());
    failures.stream().limit(FAILURES_SHOWN).forEach(failure -> appendLine(text, "  %s", failure));
    if (failures.size() > FAILURES_SHOWN) {
      appendLine(text, "  and %d more", failures.size() - FAILURES_SHOWN);
    }
  }

  private static void appendPercentiles(
      StringBuilder text, String title, ReplayReport.Percentiles values) {
    appendLine(
        text,
        "%sp50 %.1f  p90 %.1f  p95 %.1f  p99 %.1f  highest %.1f",
        title,
        values.p50(),
        values.p90(),
        values.p95(),
        values.p99(),
        values.highest());
  }

  private static String rounded(Map<String, Double> values) {
    StringBuilder text = new StringBuilder();
    values.forEach(
        (name, value) -> text.append(String.format(Locale.ROOT, "%s %.1f  ", name, value)));
    return text.toString().strip();
  }

  private static void appendLine(StringBuilder text, String format, Object... values) {
    text.append(String.format(Locale.ROOT, format, values)).append('\n');
  }
}
