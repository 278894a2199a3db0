package org.teaseltrestle.control;

import com.google.protobuf.ByteString;
import java.io.ByteArrayOutputStream;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.TrestleException;

/** Compression of what is sent to other instances, in the zlib format (RFC 1950). */
public final class Compression {

  private static final int BUFFER_BYTES = 16 * 1024;

  private Compression() {}

  /** Returns bytes compressed. */
  public static ByteString deflate(byte[] bytes) {
    Deflater deflater = new Deflater(Deflater.BEST_SPEED);
    try {
      deflater.setInput(bytes);
      deflater.finish();
      ByteString.Output output = ByteString.newOutput();
      byte[] buffer = new byte[BUFFER_BYTES];
      while (!deflater.finished()) {
        output.write(buffer, 0, deflater.deflate(buffer));
      }
      return output.toByteString();
    } finally {
      deflater.end();
    }
  }

  /**
   * Returns compressed bytes as they were.
   *
   * @param maximumBytes largest size that is accepted, in bytes
   * @throws TrestleException with {@link ErrorCode#DATA_CORRUPTED} if they are not compressed, are
   *     cut off or exceed the size
   */
  public static byte[] inflate(ByteString compressed, long maximumBytes) {
    Inflater inflater = new Inflater();
    try {
      inflater.setInput(compressed.asReadOnlyByteBuffer());
      ByteArrayOutputStream output = new ByteArrayOutputStream();
      byte[] buffer = new byte[BUFFER_BYTES];
      while (!inflater.finished()) {
        int count = inflater.inflate(buffer);
        output.write(buffer, 0, count);
        boolean stuck = count == 0 && (inflater.needsInput() || inflater.needsDictionary());
        if ((stuck && !inflater.finished()) || output.size() > maximumBytes) {
          throw new TrestleException(
              ErrorCode.DATA_CORRUPTED, "compressed bytes are cut off or too many");
        }
      }
      return output.toByteArray();
    } catch (DataFormatException e) {
      throw new TrestleException(ErrorCode.DATA_CORRUPTED, "bytes are not compressed", e);
    } finally {
      inflater.end();
    }
  }
}
