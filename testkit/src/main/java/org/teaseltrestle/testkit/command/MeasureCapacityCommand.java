package org.teaseltrestle.testkit.command;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.teaseltrestle.testkit.capacity.CapacityTable;

/** Measures cost slopes (cost per unit of load) and writes the table of the capacity page. */
@Command(name = "measure-capacity", description = "Measures the resource cost of each role")
public final class MeasureCapacityCommand implements Callable<Integer> {

  @Option(name = "--page", description = "Page whose table is replaced")
  private String page = "";

  @Override
  public Integer call() throws Exception {
    String table = CapacityTable.measure(System.out::println);
    if (!page.isEmpty()) {
      CapacityTable.write(Path.of(page), table);
    }
    return 0;
  }
}
