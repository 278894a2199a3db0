package org.teaseltrestle.testkit.capacity;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;
import org.teaseltrestle.consensus.EntryKind;
import org.teaseltrestle.consensus.FileReplicaStorage;
import org.teaseltrestle.consensus.LogEntry;
import org.teaseltrestle.model.InstanceId;
import org.teaseltrestle.testkit.capacity.Slope.Projection;
import org.teaseltrestle.wire.RaftAppendRequest;
import org.teaseltrestle.wire.RaftLogEntry;
import org.teaseltrestle.wire.RaftPacket;
import org.teaseltrestle.wire.ReplicaIdentity;

/** Slopes of the Raft log: append requests between voters, and synced writes to disk. */
final class LogSlopes {

  private static final String LEADER = "leader";
  private static final String VOTER = "voter";
  private static final int HEARTBEATS_PER_SECOND = 10;
  private static final int OTHER_VOTERS = 6;
  private static final double BATCHES_PER_APPEND = States.NODES / (double) HEARTBEATS_PER_SECOND;

  private LogSlopes() {}

  static List<Slope> all() {
    return List.of(
        appends(),
        diskAppends(
            "time on the disk: synced appends of one entry", "ns/append", 1, "each entry alone"),
        diskAppends(
            "time on the disk: synced appends of 42 entries", "ns/append", 42, "42 at once"));
  }

  private static Slope appends() {
    return new Slope(
        "bytes: appends of usage batches",
        "B/entry",
        size -> Meter.framedBytes(appendPacket(size)),
        List.of(10, 20, 40),
        List.of(
            new Projection(
                VOTER,
                "42 batches in each of 10 appends a second, in",
                BATCHES_PER_APPEND,
                HEARTBEATS_PER_SECOND,
                Bound.BYTES),
            new Projection(
                LEADER,
                "the same, out to 6 voters",
                BATCHES_PER_APPEND,
                HEARTBEATS_PER_SECOND * OTHER_VOTERS,
                Bound.BYTES),
            new Projection(
                LEADER,
                "no entry, 10 appends a second, out to 6 voters",
                0,
                HEARTBEATS_PER_SECOND * OTHER_VOTERS,
                Bound.BYTES)));
  }

  private static RaftPacket appendPacket(int entries) {
    RaftAppendRequest.Builder append =
        RaftAppendRequest.newBuilder()
            .setTerm(100)
            .setPreviousIndex(1L << 35)
            .setPreviousTerm(100)
            .setCommitIndex(1L << 35)
            .setSentAtNanos(1L << 50);
    for (int i = 0; i < entries; i++) {
      append.addEntries(
          RaftLogEntry.newBuilder()
              .setIndex((1L << 35) + i)
              .setTerm(100)
              .setKind(RaftLogEntry.Kind.COMMAND)
              .setPayload(ByteString.copyFrom(payload(i))));
    }
    return RaftPacket.newBuilder()
        .setFrom(ReplicaIdentity.newBuilder().setInstance("voter-a").setIncarnation(-1))
        .setTo(ReplicaIdentity.newBuilder().setInstance("voter-b").setIncarnation(-1))
        .setAppendRequest(append)
        .build();
  }

  private static byte[] payload(int node) {
    return ControlSlopes.usageBatch(node, 1, ControlSlopes.FIGURES_PER_BATCH).toByteArray();
  }

  private static Slope diskAppends(String name, String unit, int entries, String load) {
    return new Slope(
        name,
        unit,
        size -> elapsedNanosOfAppends(size, entries),
        List.of(25, 50, 100),
        List.of(
            new Projection(
                VOTER, "one append, " + load, 1, 1, Bound.NONE, Slope.Basis.SLOPE_ONLY)));
  }

  /** Returns the elapsed time of appends that are each synced to disk, in nanoseconds. */
  private static double elapsedNanosOfAppends(int appends, int entries) throws IOException {
    Path folder = Files.createTempDirectory("capacity-log");
    byte[] payload = payload(1);
    try (FileReplicaStorage storage =
        FileReplicaStorage.open(
            folder.resolve("replica"), new InstanceId("voter-a"), 1, Long.MAX_VALUE)) {
      long startNanos = System.nanoTime();
      long index = 1;
      for (int i = 0; i < appends; i++) {
        List<LogEntry> batch = new ArrayList<>();
        for (int j = 0; j < entries; j++) {
          batch.add(new LogEntry(index++, 1, EntryKind.COMMAND, payload));
        }
        storage.append(batch);
        storage.sync();
      }
      return System.nanoTime() - startNanos;
    } finally {
      delete(folder);
    }
  }

  private static void delete(Path folder) throws IOException {
    try (Stream<Path> files = Files.walk(folder)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(file);
      }
    }
  }
}
