package org.teaseltrestle.testkit.trace;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.teaseltrestle.model.TrestleException;
import org.teaseltrestle.testkit.DeterministicOutput;
import org.teaseltrestle.testkit.engine.PrefixHash;
import org.testng.annotations.Test;

/** Guards against traces that differ between runs or lose fields when they are written and read. */
public final class TraceTest {

  @Test
  public void sameSeedGivesSameTraceAfterWriteAndRead() throws IOException {
    Path file = Files.createTempFile("trace", ".jsonl");
    try {
      List<TraceEntry> trace = TraceGenerator.generate(Workload.named("roletka"), 5, 10, 1);
      TraceFile.write(file, List.of("comment"), trace);
      assertEquals(TraceFile.read(file), trace);
      assertEquals(TraceGenerator.generate(Workload.named("roletka"), 5, 10, 1), trace);
      assertNotEquals(TraceGenerator.generate(Workload.named("roletka"), 6, 10, 1), trace);
    } finally {
      Files.delete(file);
    }
  }

  @Test
  public void invalidLineIsReportedWithItsLocation() throws IOException {
    Path file = Files.createTempFile("trace", ".jsonl");
    try {
      Files.writeString(file, "// comment\n{\"atMillis\": 1, \"modle\": \"m\"}\n");
      TrestleException error =
          org.testng.Assert.expectThrows(TrestleException.class, () -> TraceFile.read(file));
      assertTrue(String.valueOf(error.location()).contains(":2"), error.toString());
    } finally {
      Files.delete(file);
    }
    assertThrows(TrestleException.class, () -> Workload.named("none"));
  }

  @Test
  public void promptsOfOneGroupShareOnlyTheirPrefix() {
    TraceEntry entry = TraceEntry.chat(0, "a", "m", 10, 1, "g", 6);
    List<String> first = PrefixHash.words(PromptText.of(entry, "run", 1));
    List<String> second = PrefixHash.words(PromptText.of(entry, "run", 2));
    assertEquals(first.size(), 10);
    assertEquals(first.get(5), second.get(5));
    assertNotEquals(first.get(6), second.get(6));
  }

  @Test
  public void knownOutputIsStable() {
    assertEquals(DeterministicOutput.textRange("r1", 0, 2), "derwderwddnu kolajprah1nil");
  }
}
