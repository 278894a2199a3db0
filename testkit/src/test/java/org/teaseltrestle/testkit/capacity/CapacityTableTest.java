package org.teaseltrestle.testkit.capacity;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.Test;

/** Tests of the linear fit and of the table. */
public final class CapacityTableTest {

  /** Guards against a wrong slope and against a fit that hides the scatter of the points. */
  public static final class FitTest {

    @Test
    public void exactLineHasNoErrorAndScatterIsReported() {
      LinearFit exact = LinearFit.of(new double[] {1, 2, 4}, new double[] {13, 16, 22});
      assertEquals(exact.slope(), 3, 1e-9);
      assertEquals(exact.intercept(), 10, 1e-9);
      assertEquals(exact.relativeError(), 0, 1e-9);
      assertEquals(exact.at(100), 310, 1e-9);
      LinearFit scattered = LinearFit.of(new double[] {1, 2, 3}, new double[] {1, 4, 1});
      assertEquals(scattered.slope(), 0, 1e-9);
      // Residuals -1, 2, -1 around the mean 2.
      assertEquals(scattered.relativeError(), Math.sqrt(2) / 2, 1e-9);
    }

    @Test
    public void tooFewOrEqualSizesAreRejected() {
      assertThrows(
          IllegalArgumentException.class,
          () -> LinearFit.of(new double[] {1, 2}, new double[] {1, 2}));
      assertThrows(
          IllegalArgumentException.class,
          () -> LinearFit.of(new double[] {2, 2, 2}, new double[] {1, 2, 3}));
    }
  }

  /** Guards against an exceeded bound or a long extrapolation that the table does not show. */
  public static final class RowsTest {

    @Test
    public void exceededBoundAndExtrapolationAreMarked() {
      Slope slope =
          new Slope(
              "bytes: things",
              "B/thing",
              size -> size,
              List.of(10, 20, 40),
              List.of(
                  new Slope.Projection("leader", "many", 401, 100, Bound.BYTES),
                  new Slope.Projection("follower", "few", 40, 100, Bound.BYTES)));
      List<String> rows = CapacityTable.rows(slope, new LinearFit(1, 0, 0)).lines().toList();
      assertTrue(rows.get(0).contains("many (extrapolated 10 times) | 40.1 KB/s"), rows.get(0));
      assertTrue(rows.get(0).endsWith("| **no** |"), rows.get(0));
      assertTrue(rows.get(1).contains("| few | 4.0 KB/s"), rows.get(1));
      assertTrue(rows.get(1).endsWith("| yes |"), rows.get(1));
    }

    @Test
    public void tableIsReplacedAndTheRestOfThePageStays() {
      String page = "a\n" + CapacityTable.BEGIN + "\nold\n" + CapacityTable.END + "\nb\n";
      String replaced = CapacityTable.replaceTable(page, "new\n");
      assertEquals(replaced, page.replace("old", "new"));
    }
  }
}
