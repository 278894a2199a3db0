package org.teaseltrestle.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import com.google.protobuf.ByteString;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Random;
import java.util.zip.Deflater;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.TrestleException;
import org.testng.annotations.Test;

/** Tests of the compression of what is sent to other instances. */
public final class CompressionTest {

  private static final int MAXIMUM_BYTES = 1 << 20;

  /** Guards against sizes at the ends of the buffer that are not restored. */
  @Test
  public void bytesAreRestored() {
    Random random = new Random(71);
    for (int size : new int[] {0, 1, 16_383, 16_384, 16_385, 32_768, 500_000}) {
      byte[] noise = new byte[size];
      random.nextBytes(noise);
      assertEquals(Compression.inflate(Compression.deflate(noise), MAXIMUM_BYTES), noise);
      byte[] zeros = new byte[size];
      ByteString small = Compression.deflate(zeros);
      assertTrue(small.size() < 20 + size / 100, small.size() + " of " + size + " bytes");
      assertEquals(Compression.inflate(small, MAXIMUM_BYTES), zeros);
    }
  }

  /** Guards against compressed bytes that are held in several pieces, as those of a state are. */
  @Test
  public void bytesInPiecesAreRestored() {
    byte[] noise = new byte[70_000];
    new Random(72).nextBytes(noise);
    ByteString compressed = Compression.deflate(noise);
    ByteString inPieces = ByteString.EMPTY;
    for (int at = 0; at < compressed.size(); at += 999) {
      inPieces = inPieces.concat(compressed.substring(at, Math.min(at + 999, compressed.size())));
    }
    assertEquals(Compression.inflate(inPieces, MAXIMUM_BYTES), noise);
  }

  /** Guards against a small message that fills the memory of the process. */
  @Test
  public void moreBytesThanTheMaximumAreRefused() {
    ByteString bomb = Compression.deflate(new byte[64 * MAXIMUM_BYTES]);
    assertTrue(bomb.size() < MAXIMUM_BYTES, bomb.size() + " bytes");
    assertRefused(bomb, MAXIMUM_BYTES);
    assertRefused(Compression.deflate(new byte[MAXIMUM_BYTES + 1]), MAXIMUM_BYTES);
    assertRefused(Compression.deflate(new byte[1]), 0);
    byte[] largest = new byte[MAXIMUM_BYTES];
    assertEquals(Compression.inflate(Compression.deflate(largest), MAXIMUM_BYTES), largest);
  }

  /** Guards against the beginning of a state that is taken for all of it, and an endless wait. */
  @Test(timeOut = 30_000)
  public void bytesThatAreCutOffAreRefused() {
    byte[] text = "configuration of a site ".repeat(40).getBytes(StandardCharsets.UTF_8);
    ByteString compressed = Compression.deflate(text);
    for (int size = 0; size < compressed.size(); size++) {
      assertRefused(compressed.substring(0, size), MAXIMUM_BYTES);
    }
  }

  /** Guards against bytes of another form, of an earlier version for example. */
  @Test(timeOut = 30_000)
  public void bytesThatAreNotCompressedAreRefused() {
    assertRefused(ByteString.copyFromUtf8("{\"routes\": []}"), MAXIMUM_BYTES);
    Random random = new Random(73);
    for (int i = 0; i < 2_000; i++) {
      byte[] noise = new byte[i % 100];
      random.nextBytes(noise);
      assertRefused(ByteString.copyFrom(noise), MAXIMUM_BYTES);
    }
  }

  /** Guards against damage that the compression does not see by its structure alone. */
  @Test(timeOut = 30_000)
  public void damagedBytesAreRefused() {
    byte[] noise = new byte[2_000];
    new Random(74).nextBytes(noise);
    byte[] compressed = Compression.deflate(noise).toByteArray();
    for (int i = 0; i < compressed.length; i++) {
      byte[] damaged = compressed.clone();
      damaged[i] ^= 1;
      try {
        assertEquals(Compression.inflate(ByteString.copyFrom(damaged), MAXIMUM_BYTES), noise);
      } catch (TrestleException e) {
        assertEquals(e.code(), ErrorCode.DATA_CORRUPTED);
      }
    }
  }

  /** Guards against bytes that need a dictionary, for which the decompression waits for ever. */
  @Test(timeOut = 30_000)
  public void bytesThatNeedDictionaryAreRefused() {
    Deflater deflater = new Deflater();
    try {
      deflater.setDictionary("routes of a site".getBytes(StandardCharsets.UTF_8));
      deflater.setInput("routes of a site and more".getBytes(StandardCharsets.UTF_8));
      deflater.finish();
      byte[] buffer = new byte[1_000];
      int size = deflater.deflate(buffer);
      assertRefused(ByteString.copyFrom(Arrays.copyOf(buffer, size)), MAXIMUM_BYTES);
    } finally {
      deflater.end();
    }
  }

  private static void assertRefused(ByteString compressed, long maximumBytes) {
    TrestleException refusal =
        expectThrows(TrestleException.class, () -> Compression.inflate(compressed, maximumBytes));
    assertEquals(refusal.code(), ErrorCode.DATA_CORRUPTED);
  }
}
