package org.teaseltrestle.testkit.cluster;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.TrestleException;

/** Operations on the folders of test runs. */
public final class Folders {

  private Folders() {}

  /** Deletes a folder with everything in it; a missing folder is no error. */
  public static void delete(Path folder) {
    if (!Files.exists(folder)) {
      return;
    }
    try (Stream<Path> files = Files.walk(folder)) {
      List<Path> deepestFirst = files.sorted(Comparator.reverseOrder()).toList();
      for (Path file : deepestFirst) {
        Files.delete(file);
      }
    } catch (IOException e) {
      throw new TrestleException(ErrorCode.FILE_ACCESS, folder + " cannot be deleted", e);
    }
  }
}
