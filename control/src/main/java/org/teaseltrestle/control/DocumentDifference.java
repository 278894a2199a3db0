package org.teaseltrestle.control;

import com.google.protobuf.ByteString;
import com.google.protobuf.CodedInputStream;
import com.google.protobuf.CodedOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Arrays;
import java.util.zip.CRC32C;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.TrestleException;

/**
 * Difference between two documents, as the parts of the base that the target repeats and the bytes
 * between them, compressed. Successive versions of a configuration differ in a few places, so that
 * a difference is hundreds of times smaller than the target. Against an empty base it is the
 * compressed target.
 *
 * <p>Format before the compression: size of the target, CRC32C of the target (four bytes), then
 * parts. A part begins with its size times two, plus one if it repeats the base; then comes the
 * place in the base, relative to the end of the repetition before, or the bytes themselves. Numbers
 * are variable-length integers of protobuf.
 */
public final class DocumentDifference {

  /** Largest document in bytes; a difference that states more is damaged. */
  private static final int MAXIMUM_BYTES = 64 << 20;

  private DocumentDifference() {}

  /** Returns the difference from which {@link #apply} makes the target again. */
  public static ByteString between(ByteString base, ByteString target) {
    byte[] baseBytes = base.toByteArray();
    byte[] targetBytes = target.toByteArray();
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try {
      CodedOutputStream output = CodedOutputStream.newInstance(bytes);
      output.writeUInt32NoTag(targetBytes.length);
      output.writeFixed32NoTag(checksum(targetBytes));
      new RepetitionFinder(baseBytes, targetBytes).writeParts(new PartWriter(output, targetBytes));
      output.flush();
    } catch (IOException e) {
      throw new TrestleException(ErrorCode.INTERNAL, "difference cannot be written", e);
    }
    return Compression.deflate(bytes.toByteArray());
  }

  /**
   * Returns the target of a difference.
   *
   * @throws TrestleException with {@link ErrorCode#DATA_CORRUPTED} if the difference is damaged or
   *     belongs to another base
   */
  public static ByteString apply(ByteString base, ByteString difference) {
    byte[] encoded = Compression.inflate(difference, 2L * MAXIMUM_BYTES);
    try {
      CodedInputStream input = CodedInputStream.newInstance(encoded);
      int size = input.readUInt32();
      if (size < 0 || size > MAXIMUM_BYTES) {
        throw corrupted("target of " + size + " bytes", null);
      }
      final int checksum = input.readFixed32();
      byte[] target = new byte[size];
      readParts(input, base, target);
      if (checksum(target) != checksum) {
        throw corrupted("checksum of the target", null);
      }
      return ByteString.copyFrom(target);
    } catch (IOException e) {
      throw corrupted(String.valueOf(e.getMessage()), e);
    }
  }

  private static void readParts(CodedInputStream input, ByteString base, byte[] target)
      throws IOException {
    int written = 0;
    int baseEnd = 0;
    while (!input.isAtEnd()) {
      int header = input.readUInt32();
      int size = header >>> 1;
      if (size > target.length - written) {
        throw corrupted("part of " + size + " bytes", null);
      }
      if ((header & 1) == 0) {
        byte[] bytes = input.readRawBytes(size);
        System.arraycopy(bytes, 0, target, written, size);
      } else {
        long place = (long) baseEnd + input.readSInt32();
        if (place < 0 || place + size > base.size()) {
          throw corrupted("repetition at " + place + " of " + base.size() + " bytes", null);
        }
        base.copyTo(target, (int) place, written, size);
        baseEnd = (int) place + size;
      }
      written += size;
    }
    if (written != target.length) {
      throw corrupted(written + " of " + target.length + " bytes", null);
    }
  }

  private static int checksum(byte[] bytes) {
    CRC32C checksum = new CRC32C();
    checksum.update(bytes);
    return (int) checksum.getValue();
  }

  private static TrestleException corrupted(String what, @Nullable IOException cause) {
    String message = "difference does not fit its base: " + what;
    return cause == null
        ? new TrestleException(ErrorCode.DATA_CORRUPTED, message)
        : new TrestleException(ErrorCode.DATA_CORRUPTED, message, cause);
  }

  /** Writes the parts of a target in order; bytes that no repetition covers are written as such. */
  private static final class PartWriter {

    private final CodedOutputStream output;
    private final byte[] target;
    private int written;
    private int baseEnd;

    PartWriter(CodedOutputStream output, byte[] target) {
      this.output = output;
      this.target = target;
    }

    void repeat(int place, int start, int size) throws IOException {
      writeBytesBefore(start);
      output.writeUInt32NoTag(size << 1 | 1);
      output.writeSInt32NoTag(place - baseEnd);
      written += size;
      baseEnd = place + size;
    }

    void writeBytesBefore(int end) throws IOException {
      if (end > written) {
        output.writeUInt32NoTag((end - written) << 1);
        output.writeRawBytes(target, written, end - written);
        written = end;
      }
    }
  }

  /** Finds the parts of the target that stand in the base too. */
  private static final class RepetitionFinder {

    private static final int BLOCK_BYTES = 16;
    private static final int MULTIPLIER = 0x01000193;

    /** Places in the base that are compared for each block of the target. */
    private static final int MAXIMUM_CANDIDATES = 8;

    /** Bytes after the repetition before among which the next one is looked for. */
    private static final int NEAR_BYTES = 64;

    private static final int MINIMUM_REPETITION = 16;
    private static final int NONE = -1;

    private final byte[] base;
    private final byte[] target;
    private final int prefix;
    private final int suffix;
    private final int[] firstBlock;
    private final int[] nextBlock;
    private int bestPlace;
    private int bestSize;

    RepetitionFinder(byte[] base, byte[] target) {
      this.base = base;
      this.target = target;
      this.prefix = commonPrefix();
      this.suffix = commonSuffix();
      int blocks = (base.length - suffix - prefix) / BLOCK_BYTES;
      this.firstBlock = new int[Integer.highestOneBit(Math.max(1, blocks)) * 2];
      this.nextBlock = new int[blocks];
      Arrays.fill(firstBlock, NONE);
      // Backwards, so that the first places in the base are compared first.
      for (int block = blocks - 1; block >= 0; block--) {
        int slot = slot(hash(base, blockPlace(block)));
        nextBlock[block] = firstBlock[slot];
        firstBlock[slot] = block;
      }
    }

    void writeParts(PartWriter writer) throws IOException {
      if (prefix > 0) {
        writer.repeat(0, 0, prefix);
      }
      writeMiddle(writer);
      writer.writeBytesBefore(target.length - suffix);
      if (suffix > 0) {
        writer.repeat(base.length - suffix, target.length - suffix, suffix);
      }
    }

    private void writeMiddle(PartWriter writer) throws IOException {
      int end = target.length - suffix;
      int outgoingFactor = power(BLOCK_BYTES);
      int baseEnd = prefix;
      int at = prefix;
      int hash = 0;
      boolean hashIsOfBlock = false;
      while (end - at >= BLOCK_BYTES) {
        hash =
            hashIsOfBlock
                ? hash * MULTIPLIER + target[at + BLOCK_BYTES - 1] - target[at - 1] * outgoingFactor
                : hash(target, at);
        findLongest(at, end, baseEnd, hash);
        hashIsOfBlock = bestSize < MINIMUM_REPETITION;
        if (hashIsOfBlock) {
          at++;
        } else {
          writer.repeat(bestPlace, at, bestSize);
          at += bestSize;
          baseEnd = bestPlace + bestSize;
        }
      }
    }

    private void findLongest(int at, int end, int baseEnd, int hash) {
      bestSize = 0;
      int nearEnd = Math.min(baseEnd + NEAR_BYTES, base.length);
      for (int place = baseEnd; place < nearEnd; place++) {
        compare(place, at, end);
      }
      int block = firstBlock[slot(hash)];
      for (int i = 0; i < MAXIMUM_CANDIDATES && block != NONE; i++) {
        compare(blockPlace(block), at, end);
        block = nextBlock[block];
      }
    }

    private void compare(int place, int at, int end) {
      if (base[place] != target[at]) {
        return;
      }
      int mismatch = Arrays.mismatch(base, place, base.length, target, at, end);
      int size = mismatch < 0 ? Math.min(base.length - place, end - at) : mismatch;
      if (size > bestSize) {
        bestSize = size;
        bestPlace = place;
      }
    }

    private int commonPrefix() {
      int mismatch = Arrays.mismatch(base, target);
      return mismatch < 0 ? base.length : mismatch;
    }

    private int commonSuffix() {
      int most = Math.min(base.length, target.length) - prefix;
      int size = 0;
      while (size < most && base[base.length - 1 - size] == target[target.length - 1 - size]) {
        size++;
      }
      return size;
    }

    private int blockPlace(int block) {
      return prefix + block * BLOCK_BYTES;
    }

    private int slot(int hash) {
      return (hash ^ hash >>> 15) & (firstBlock.length - 1);
    }

    private static int hash(byte[] bytes, int start) {
      int hash = 0;
      for (int i = start; i < start + BLOCK_BYTES; i++) {
        hash = hash * MULTIPLIER + bytes[i];
      }
      return hash;
    }

    private static int power(int exponent) {
      int power = 1;
      for (int i = 0; i < exponent; i++) {
        power *= MULTIPLIER;
      }
      return power;
    }
  }
}
