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
import org.teaseltrestle.testkit.capacity.Slope.Projection;

/** Measures all slopes and formats them as the table of the capacity page. */
public final class CapacityTable {

  static final String BEGIN = "<!-- measured:begin -->";
  static final String END = "<!-- measured:end -->";
  private static final double REPORTED_EXTRAPOLATION = 10;
  private static final String HEADER =
      """
      | slope | measured | error of fit | largest size | role | load at the target | figure \
      | bound | met |
      |---|---|---|---|---|---|---|---|---|
      """;

  private CapacityTable() {}

  /**
   * Measures all slopes.
   *
   * @param progress receives the table rows of each slope once it is measured
   * @return the table in Markdown
   */
  public static String measure(Consumer<String> progress) throws Exception {
    List<Slope> slopes = new ArrayList<>();
    slopes.addAll(ControlSlopes.all());
    slopes.addAll(LogSlopes.all());
    slopes.addAll(TreeSlopes.all());
    slopes.addAll(FleetSlopes.all());
    slopes.addAll(StreamSlopes.all());
    StringBuilder table = new StringBuilder(HEADER);
    for (Slope slope : slopes) {
      LinearFit fit = measureAndFit(slope);
      String rows = rows(slope, fit);
      progress.accept(rows.stripTrailing());
      table.append(rows);
    }
    return table.toString();
  }

  /**
   * Replaces the table between the markers of a page; throws {@code FILE_ACCESS} if the file cannot
   * be read or written, and {@code MALFORMED_MESSAGE} if it has no markers.
   */
  public static void write(Path page, String table) {
    try {
      Files.writeString(page, replaceTable(Files.readString(page), table));
    } catch (IOException e) {
      throw new TrestleException(ErrorCode.FILE_ACCESS, page + " cannot be written", e);
    }
  }

  static String replaceTable(String page, String table) {
    int start = page.indexOf(BEGIN);
    int end = page.indexOf(END);
    if (start < 0 || end < start) {
      throw new TrestleException(
          ErrorCode.MALFORMED_MESSAGE, "the page has no markers for the table");
    }
    return page.substring(0, start + BEGIN.length()) + "\n" + table + page.substring(end);
  }

  /** Fits a line; a first measurement, for class loading and compilation, is discarded. */
  private static LinearFit measureAndFit(Slope slope) throws Exception {
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
    for (Projection projection : slope.projections()) {
      double projectedValue = projection.projectedValue(fit);
      double extrapolation =
          projection.basis() == Slope.Basis.WITH_INTERCEPT ? projection.size() / largest : 1;
      String load = projection.load();
      if (extrapolation > REPORTED_EXTRAPOLATION) {
        load += String.format(Locale.ROOT, " (extrapolated %.0f times)", extrapolation);
      }
      rows.append(
          String.format(
              Locale.ROOT,
              "| %s | %s %s | %.1f%% | %,d | %s | %s | %s | %s | %s |%n",
              slope.name(),
              formatNumber(fit.slope()),
              slope.unit(),
              100 * fit.relativeError(),
              largest,
              projection.role(),
              load,
              formatValue(slope, projection, projectedValue),
              projection.bound().text(),
              metText(projection.bound(), projectedValue)));
    }
    return rows.toString();
  }

  private static String metText(Bound bound, double projectedValue) {
    if (bound == Bound.NONE) {
      return "-";
    }
    return bound.isMet(projectedValue) ? "yes" : "**no**";
  }

  private static String formatValue(Slope slope, Projection projection, double value) {
    if (!slope.name().startsWith("memory") && !slope.name().startsWith("bytes")) {
      return projection.bound() == Bound.PROCESSOR
          ? String.format(Locale.ROOT, "%.4f%% of a core", value / 1e7)
          : String.format(Locale.ROOT, "%.1f ms", value / 1e6);
    }
    String unit = projection.bound() == Bound.BYTES ? "/s" : "";
    if (value >= 1e6) {
      return String.format(Locale.ROOT, "%.2f MB%s", value / 1e6, unit);
    }
    return value >= 1e3
        ? String.format(Locale.ROOT, "%.1f KB%s", value / 1e3, unit)
        : String.format(Locale.ROOT, "%.1f B%s", value, unit);
  }

  private static String formatNumber(double value) {
    return String.format(Locale.ROOT, Math.abs(value) >= 100 ? "%,.0f" : "%.2f", value);
  }
}
