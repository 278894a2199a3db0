package org.teaseltrestle.commandline;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;

/** Text table with left-aligned columns. */
final class Table {

  private static final String GAP = "  ";

  private final List<List<String>> rows = new ArrayList<>();

  /** Creates a table with one column for each heading. */
  Table(String... headings) {
    rows.add(List.of(headings));
  }

  /** Adds a row with a cell for each column; an empty cell is printed as a dash. */
  Table row(Object... cells) {
    List<String> row = new ArrayList<>();
    for (Object cell : cells) {
      String text = cell.toString();
      row.add(text.isEmpty() ? "-" : text);
    }
    rows.add(row);
    return this;
  }

  void print(PrintStream output) {
    int columns = rows.get(0).size();
    int[] widths = new int[columns];
    for (List<String> row : rows) {
      for (int i = 0; i < columns; i++) {
        widths[i] = Math.max(widths[i], row.get(i).length());
      }
    }
    for (List<String> row : rows) {
      StringBuilder line = new StringBuilder();
      for (int i = 0; i < columns; i++) {
        line.append(row.get(i)).append(" ".repeat(widths[i] - row.get(i).length())).append(GAP);
      }
      output.println(line.toString().stripTrailing());
    }
  }
}
