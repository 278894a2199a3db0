package org.teaseltrestle.testkit.replay;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.HistogramIterationValue;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.BitmapEncoder.BitmapFormat;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.internal.chartpart.Chart;
import org.knowm.xchart.style.markers.SeriesMarkers;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.TrestleException;

/** Draws four charts of a replay into a PNG file. */
public final class ReportPlot {

  private static final int WIDTH = 700;
  private static final int HEIGHT = 420;
  private static final double MICROS_PER_MILLI = 1000;
  private static final long BUCKET_MILLIS = 1000;

  private ReportPlot() {}

  /** Writes the PNG file; throws {@code FILE_ACCESS} if that fails. */
  public static void write(
      Path file,
      ReplayReport report,
      List<RequestResult> results,
      ReplaySettings settings,
      Histogram interTokenMicros) {
    System.setProperty("java.awt.headless", "true");
    List<Chart<?, ?>> charts = new ArrayList<>();
    charts.add(arrivalChart(results, settings));
    charts.add(accountChart(report));
    charts.add(percentileChart("first token", firstTokenMicros(results)));
    charts.add(percentileChart("between tokens", interTokenMicros));
    try {
      BitmapEncoder.saveBitmap(new ArrayList<>(charts), 2, 2, file.toString(), BitmapFormat.PNG);
    } catch (IOException e) {
      throw new TrestleException(ErrorCode.FILE_ACCESS, file + " cannot be written", e);
    }
  }

  private static XYChart arrivalChart(List<RequestResult> results, ReplaySettings settings) {
    XYChart chart = newXyChart("requests by second of arrival", "second", "requests");
    long first = results.stream().mapToLong(RequestResult::startMillis).min().orElse(0);
    Map<Long, int[]> counts = new TreeMap<>();
    for (RequestResult result : results) {
      int[] count =
          counts.computeIfAbsent((result.startMillis() - first) / BUCKET_MILLIS, key -> new int[3]);
      count[0]++;
      count[1] += settings.isGood(result) ? 1 : 0;
      count[2] += result.outcome() == ReplayOutcome.REFUSED ? 1 : 0;
    }
    String[] names = {"sent", "good", "refused"};
    double[] seconds = counts.keySet().stream().mapToDouble(Long::doubleValue).toArray();
    for (int i = 0; i < names.length; i++) {
      int column = i;
      double[] values = counts.values().stream().mapToDouble(count -> count[column]).toArray();
      chart.addSeries(names[i], seconds, values).setMarker(SeriesMarkers.NONE);
    }
    return chart;
  }

  private static CategoryChart accountChart(ReplayReport report) {
    CategoryChart chart =
        new CategoryChartBuilder()
            .width(WIDTH)
            .height(HEIGHT)
            .title("fraction of good answers by account")
            .build();
    chart.getStyler().setXAxisLabelRotation(45).setLegendVisible(false);
    chart.getStyler().setYAxisMin(0.0).setYAxisMax(1.0);
    List<String> names = new ArrayList<>();
    List<Double> shares = new ArrayList<>();
    for (ReplayReport.AccountFigures figures : report.accounts()) {
      names.add(figures.account());
      shares.add(figures.goodShare());
    }
    if (!names.isEmpty()) {
      chart.addSeries("good", names, shares);
    }
    return chart;
  }

  private static XYChart percentileChart(String title, Histogram micros) {
    XYChart chart = newXyChart(title, "percentile", "ms");
    List<Double> percentiles = new ArrayList<>();
    List<Double> millis = new ArrayList<>();
    for (HistogramIterationValue value : micros.percentiles(5)) {
      percentiles.add(value.getPercentileLevelIteratedTo());
      millis.add(value.getValueIteratedTo() / MICROS_PER_MILLI);
    }
    if (!percentiles.isEmpty()) {
      chart.addSeries(title, percentiles, millis).setMarker(SeriesMarkers.NONE);
    }
    return chart;
  }

  private static Histogram firstTokenMicros(List<RequestResult> results) {
    Histogram micros = new Histogram(3);
    for (RequestResult result : results) {
      if (result.firstTokenMillis() >= 0) {
        micros.recordValue((long) (result.firstTokenMillis() * MICROS_PER_MILLI));
      }
    }
    return micros;
  }

  private static XYChart newXyChart(String title, String horizontal, String vertical) {
    XYChart chart =
        new XYChartBuilder()
            .width(WIDTH)
            .height(HEIGHT)
            .title(title)
            .xAxisTitle(horizontal)
            .yAxisTitle(vertical)
            .build();
    chart.getStyler().setLegendVisible(true);
    return chart;
  }
}
