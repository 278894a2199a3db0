package org.teaseltrestle.testkit.capacity;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.TrestleException;
import org.teaseltrestle.testkit.capacity.Slope.Use;

/** Measures all slopes and writes the table of the capacity page. */
public final class CapacityTable {

  static final String BEGIN = "<!-- measured:begin -->";
  static final String END = "<!-- measured:end -->";
  private static final double MARKED_EXTRAPOLATION = 10;
  private static final String HEAD =
      """
      | slope | measured | error of fit | largest size | role | load at the target | figure \
      | bound | met |
      |---|---|---|---|---|---|---|---|---|
      """;

  private CapacityTable() {}

  /**
   * Measures all slopes.
   *
   * @param progress takes a line for each measured slope
   * @return the table in Markdown
   */
  public static String measure(Consumer<String> progress) throws Exception {
    List<Slope> slopes = new ArrayList<>();
    slopes.addAll(ControlSlopes.all());
    slopes.addAll(LogSlopes.all());
    slopes.addAll(TreeSlopes.all());
    slopes.addAll(FleetSlopes.all());
    slopes.addAll(StreamSlopes.all());
    StringBuilder table = new StringBuilder(HEAD);
    for (Slope slope : slopes) {
      LinearFit fit = fit(slope);
      String rows = rows(slope, fit);
      progress.accept(rows.stripTrailing());
      table.append(rows);
    }
    return table.toString();
  }

  /** Replaces the table of a page. */
  public static void write(Path page, String table) {
    try {
      Files.writeString(page, replaced(Files.readString(page), table));
    } catch (IOException e) {
      throw new TrestleException(ErrorCode.FILE_ACCESS, page + " cannot be written", e);
    }
  }

  static String replaced(String page, String table) {
    int begin = page.indexOf(BEGIN);
    int end = page.indexOf(END);
    if (begin < 0 || end < begin) {
      throw new TrestleException(ErrorCode.MALFORMED_MESSAGE, "the page has no place for a table");
    }
    return page.substring(0, begin + BEGIN.length()) + "\n" + table + page.substring(end);
  }

  /** The smallest size is measured once before, so that its code is compiled and loaded. */
  private static LinearFit fit(Slope slope) throws Exception {
    int[] sizes = slope.sizes().stream().mapToInt(Integer::intValue).toArray();
    slope.measurement().at(sizes[0]);
    double[] values = new double[sizes.length];
    for (int i = 0; i < sizes.length; i++) {
      values[i] = slope.measurement().at(sizes[i]);
    }
    return LinearFit.of(Arrays.stream(sizes).asDoubleStream().toArray(), values);
  }

  static String rows(Slope slope, LinearFit fit) {
    StringBuilder rows = new StringBuilder();
    int largest = slope.sizes().get(slope.sizes().size() - 1);
    for (Use use : slope.uses()) {
      double figure = use.figure(fit);
      double factor = use.basis() == Slope.Basis.LINE ? use.size() / largest : 1;
      String load = use.load();
      if (factor > MARKED_EXTRAPOLATION) {
        load += String.format(Locale.ROOT, " (extrapolated %.0f times)", factor);
      }
      rows.append(
          String.format(
              Locale.ROOT,
              "| %s | %s %s | %.1f%% | %,d | %s | %s | %s | %s | %s |%n",
              slope.name(),
              number(fit.slope()),
              slope.unit(),
              100 * fit.relativeError(),
              largest,
              use.role(),
              load,
              figure(slope, use, figure),
              use.bound().text(),
              met(use.bound(), figure)));
    }
    return rows.toString();
  }

  private static String met(Bound bound, double figure) {
    if (bound == Bound.NONE) {
      return "-";
    }
    return bound.isMet(figure) ? "yes" : "**no**";
  }

  private static String figure(Slope slope, Use use, double value) {
    if (!slope.name().startsWith("memory") && !slope.name().startsWith("bytes")) {
      return use.bound() == Bound.PROCESSOR
          ? String.format(Locale.ROOT, "%.4f%% of a core", value / 1e7)
          : String.format(Locale.ROOT, "%.1f ms", value / 1e6);
    }
    String unit = use.bound() == Bound.BYTES ? "/s" : "";
    if (value >= 1e6) {
      return String.format(Locale.ROOT, "%.2f MB%s", value / 1e6, unit);
    }
    return value >= 1e3
        ? String.format(Locale.ROOT, "%.1f KB%s", value / 1e3, unit)
        : String.format(Locale.ROOT, "%.1f B%s", value, unit);
  }

  private static String number(double value) {
    return String.format(Locale.ROOT, Math.abs(value) >= 100 ? "%,.0f" : "%.2f", value);
  }
}
