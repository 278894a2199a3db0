package org.teaseltrestle.consensus;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.TrestleException;

/**
 * Records with checksums: payload length, CRC32C of the payload, CRC32C of these eight bytes,
 * payload.
 *
 * <p>Each sync writes one record, so at most the last record of a file can be incomplete after a
 * crash. An invalid record before a valid one is therefore corruption.
 */
final class RecordFormat {

  static final int HEADER_BYTES = 12;

  // A crash during a write leaves bytes that were never written; they read as zeros. In the middle
  // of a record these are whole sectors.
  private static final int SECTOR_BYTES = 512;

  /** Records of a file, and the offset up to which the file is valid. */
  record Scan(List<byte[]> payloads, int validBytes) {}

  private RecordFormat() {}

  static ByteBuffer encode(byte[] payload) {
    ByteBuffer record = ByteBuffer.allocate(HEADER_BYTES + payload.length);
    record.putInt(payload.length).putInt(checksum(ByteBuffer.wrap(payload)));
    record.putInt(checksum(record.duplicate().flip())).put(payload);
    return record.flip();
  }

  /**
   * Reads all records; an incomplete last record is ignored.
   *
   * @param file file name for error messages
   * @throws TrestleException with {@link ErrorCode#DATA_CORRUPTED} if the file is damaged
   */
  static Scan scan(String file, ByteBuffer content) {
    List<byte[]> payloads = new ArrayList<>();
    int offset = 0;
    while (offset < content.limit()) {
      if (!isValid(content, offset)) {
        if (!isTorn(content, offset)) {
          throw new TrestleException(
              ErrorCode.DATA_CORRUPTED, file + " is damaged at byte " + offset);
        }
        break;
      }
      byte[] payload = new byte[content.getInt(offset)];
      content.get(offset + HEADER_BYTES, payload);
      payloads.add(payload);
      offset += HEADER_BYTES + payload.length;
    }
    return new Scan(payloads, offset);
  }

  private static boolean isValid(ByteBuffer content, int offset) {
    if (!isHeaderValid(content, offset)) {
      return false;
    }
    int length = content.getInt(offset);
    return length <= content.limit() - offset - HEADER_BYTES
        && checksum(content.slice(offset + HEADER_BYTES, length)) == content.getInt(offset + 4);
  }

  private static boolean isHeaderValid(ByteBuffer content, int offset) {
    return content.limit() - offset >= HEADER_BYTES
        && content.getInt(offset) >= 0
        && checksum(content.slice(offset, 8)) == content.getInt(offset + 8);
  }

  private static boolean isTorn(ByteBuffer content, int offset) {
    int remaining = content.limit() - offset;
    for (int later = offset + 1; later < content.limit(); later++) {
      if (isValid(content, later)) {
        return false;
      }
    }
    if (remaining < HEADER_BYTES) {
      return true;
    }
    boolean truncated =
        isHeaderValid(content, offset) && content.getInt(offset) > remaining - HEADER_BYTES;
    boolean endsInZero = content.get(content.limit() - 1) == 0;
    return truncated || endsInZero || hasUnwrittenSector(content, offset);
  }

  private static boolean hasUnwrittenSector(ByteBuffer content, int offset) {
    int start = offset;
    while (start < content.limit()) {
      int end = Math.min(content.limit(), (start / SECTOR_BYTES + 1) * SECTOR_BYTES);
      if (isZero(content, start, end)) {
        return true;
      }
      start = end;
    }
    return false;
  }

  private static boolean isZero(ByteBuffer content, int start, int end) {
    for (int i = start; i < end; i++) {
      if (content.get(i) != 0) {
        return false;
      }
    }
    return true;
  }

  private static int checksum(ByteBuffer bytes) {
    CRC32C crc = new CRC32C();
    crc.update(bytes);
    return (int) crc.getValue();
  }
}
