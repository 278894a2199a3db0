package org.teaseltrestle.consensus;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.InstanceId;
import org.teaseltrestle.model.ReplicaId;
import org.teaseltrestle.model.TrestleException;

/** Encodes and decodes the payloads of the records in a replica's files. */
final class StorageCodec {

  private interface Writer {
    void write(DataOutputStream out) throws IOException;
  }

  private interface Reader<T> {
    T read(DataInputStream in) throws IOException;
  }

  // Not zero, so that a record of entries that ends in zeros was not written completely.
  private static final int END_OF_ENTRIES = 0xff;

  private StorageCodec() {}

  static byte[] encodeEntries(List<LogEntry> entries) {
    return encode(
        out -> {
          out.writeInt(entries.size());
          for (LogEntry entry : entries) {
            out.writeLong(entry.index());
            out.writeLong(entry.term());
            out.writeByte(entry.kind().ordinal());
            writeBytes(out, entry.payload());
          }
          out.writeByte(END_OF_ENTRIES);
        });
  }

  static List<LogEntry> decodeEntries(byte[] payload) {
    return decode(
        payload,
        in -> {
          List<LogEntry> entries = new ArrayList<>();
          for (int remaining = in.readInt(); remaining > 0; remaining--) {
            long index = in.readLong();
            long term = in.readLong();
            EntryKind kind = EntryKind.values()[in.readUnsignedByte()];
            entries.add(new LogEntry(index, term, kind, readBytes(in)));
          }
          return entries;
        });
  }

  static byte[] encodeHardState(HardState state) {
    return encode(
        out -> {
          out.writeLong(state.term());
          ReplicaId vote = state.votedFor();
          out.writeBoolean(vote != null);
          if (vote != null) {
            writeReplica(out, vote);
          }
        });
  }

  static HardState decodeHardState(byte[] payload) {
    return decode(
        payload, in -> new HardState(in.readLong(), in.readBoolean() ? readReplica(in) : null));
  }

  static byte[] encodeSnapshot(Snapshot snapshot) {
    return encode(
        out -> {
          out.writeLong(snapshot.index());
          out.writeLong(snapshot.term());
          writeBytes(out, snapshot.configuration().encode());
          writeBytes(out, snapshot.data());
        });
  }

  static Snapshot decodeSnapshot(byte[] payload) {
    return decode(
        payload,
        in ->
            new Snapshot(
                in.readLong(), in.readLong(), Configuration.decode(readBytes(in)), readBytes(in)));
  }

  static byte[] encodeIdentity(ReplicaId identity) {
    return encode(out -> writeReplica(out, identity));
  }

  static ReplicaId decodeIdentity(byte[] payload) {
    return decode(payload, StorageCodec::readReplica);
  }

  private static byte[] encode(Writer writer) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (DataOutputStream out = new DataOutputStream(bytes)) {
      writer.write(out);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return bytes.toByteArray();
  }

  private static <T> T decode(byte[] payload, Reader<T> reader) {
    try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(payload))) {
      return reader.read(in);
    } catch (IOException | IndexOutOfBoundsException e) {
      throw new TrestleException(ErrorCode.DATA_CORRUPTED, "malformed record", e);
    }
  }

  private static void writeReplica(DataOutputStream out, ReplicaId replica) throws IOException {
    out.writeUTF(replica.instance().value());
    out.writeLong(replica.incarnation());
  }

  private static ReplicaId readReplica(DataInputStream in) throws IOException {
    return new ReplicaId(new InstanceId(in.readUTF()), in.readLong());
  }

  private static void writeBytes(DataOutputStream out, byte[] bytes) throws IOException {
    out.writeInt(bytes.length);
    out.write(bytes);
  }

  private static byte[] readBytes(DataInputStream in) throws IOException {
    int length = in.readInt();
    if (length < 0 || length > in.available()) {
      throw new IOException("length out of range: " + length);
    }
    return in.readNBytes(length);
  }
}
