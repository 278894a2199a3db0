import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run, with the seconds since the start. */
final class Record implements AutoCloseable {

  private final long startNanos = System.nanoTime();
  private final PrintWriter writer;

  Record(Path file) throws IOException {
    writer = new PrintWriter(Files.newBufferedWriter(file), true);
  }

  synchronized void add(String who, String what) {
    writer.println(String.format(Locale.ROOT, "%8.3f %-9s %s", seconds(), who, what));
  }

  double seconds() {
    return (System.nanoTime() - startNanos) / 1e9;
  }

  @Override
  public void close() {
    writer.close();
  }
}
