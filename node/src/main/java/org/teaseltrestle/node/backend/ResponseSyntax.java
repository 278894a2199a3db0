package org.teaseltrestle.node.backend;

import java.net.ProtocolException;
import java.util.OptionalInt;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.teaseltrestle.node.port.HttpSyntax;

/**
 * Checks an HTTP/1.1 response while its bytes arrive, as OkHttp reads more than the protocol
 * allows. The names of fields must be tokens, in final and interim heads and in trailers: OkHttp
 * takes whatever stands before a colon for a name, and so misses a length or an encoding. Only
 * blanks and tabs may surround these: OkHttp strips more. Each chunk must end where its size says:
 * OkHttp skips the rest of the line, so that a response which lost bytes would look complete.
 *
 * <p>{@link BoundedSocket} limits the length of lines.
 */
final class ResponseSyntax {

  private static final Pattern STATUS_LINE =
      Pattern.compile("HTTP/1\\.[01] (?<status>[0-9]{3})( .*)?", Pattern.DOTALL);

  private static final Pattern CHUNKED = Pattern.compile("[ \\t]*(?i:chunked)[ \\t]*");
  private static final Pattern LENGTH = Pattern.compile("[ \\t]*[0-9]+[ \\t]*");
  private static final int HEXADECIMAL = 16;

  private enum Part {
    STATUS_LINE,
    FIELD,
    CHUNK_SIZE,
    CHUNK_DATA,
    CHUNK_END,
    TRAILER,
    /** A body without chunks, or what follows the response. */
    UNCHECKED
  }

  private final StringBuilder line = new StringBuilder();
  private Part part = Part.STATUS_LINE;
  private boolean interim;
  private boolean chunked;
  private long chunkBytesLeft;

  /**
   * Checks the next bytes of the response.
   *
   * @throws MalformedResponseException if the name of a field is no token, or the value of one that
   *     frames the body is malformed
   * @throws ProtocolException if a status line is none, the size of a chunk is no number, or a
   *     chunk is longer than its size
   */
  void accept(byte[] bytes, int offset, int length) throws ProtocolException {
    int position = offset;
    int end = offset + length;
    while (position < end && part != Part.UNCHECKED) {
      if (part == Part.CHUNK_DATA) {
        int skipped = (int) Math.min(chunkBytesLeft, end - position);
        position += skipped;
        chunkBytesLeft -= skipped;
        part = chunkBytesLeft == 0 ? Part.CHUNK_END : part;
      } else {
        accept((char) (bytes[position++] & 0xff));
      }
    }
  }

  private void accept(char next) throws ProtocolException {
    if (next == '\n') {
      endLine();
      line.setLength(0);
    } else {
      line.append(next);
    }
    if (part == Part.CHUNK_END && !line.isEmpty() && !line.toString().equals("\r")) {
      throw new ProtocolException("a chunk is longer than its size");
    }
  }

  private void endLine() throws ProtocolException {
    switch (part) {
      case STATUS_LINE -> endStatusLine();
      case FIELD, TRAILER -> endField();
      case CHUNK_SIZE -> startChunk(line.toString().strip());
      case CHUNK_END -> part = Part.CHUNK_SIZE;
      default -> throw new IllegalStateException(part.name());
    }
  }

  private void endStatusLine() throws ProtocolException {
    dropCarriageReturn();
    Matcher matcher = STATUS_LINE.matcher(line);
    if (!matcher.matches()) {
      // As OkHttp does, which also accepts other protocols and other digits.
      throw new ProtocolException("no status line of HTTP/1.1");
    }
    interim = matcher.group("status").startsWith("1");
    chunked = false;
    part = Part.FIELD;
  }

  private void dropCarriageReturn() {
    int last = line.length() - 1;
    if (last >= 0 && line.charAt(last) == '\r') {
      line.setLength(last);
    }
  }

  private void endField() throws MalformedResponseException {
    dropCarriageReturn();
    if (line.isEmpty()) {
      part = partAfterFields();
      return;
    }
    int colon = line.indexOf(":");
    String name = line.substring(0, Math.max(0, colon));
    if (!HttpSyntax.isFieldName(name)) {
      throw new MalformedResponseException(describeInvalidName(name));
    }
    if (part == Part.FIELD) {
      readFraming(name, line.substring(colon + 1));
    }
  }

  private void readFraming(String name, String value) throws MalformedResponseException {
    if (name.equalsIgnoreCase("Transfer-Encoding")) {
      chunked = CHUNKED.matcher(value).matches();
      if (!chunked) {
        throw new MalformedResponseException("transfer encoding is not chunked");
      }
    } else if (name.equalsIgnoreCase("Content-Length") && !LENGTH.matcher(value).matches()) {
      throw new MalformedResponseException("content length is no number");
    }
  }

  /** The name itself could hold anything, so the reason states one byte of it. */
  private static String describeInvalidName(String name) {
    OptionalInt invalid =
        name.chars().filter(each -> !HttpSyntax.isTokenCharacter(each)).findFirst();
    return invalid.isEmpty()
        ? "a field has no name"
        : String.format("name of a field holds byte 0x%02x", invalid.getAsInt());
  }

  private Part partAfterFields() {
    if (part == Part.TRAILER) {
      return Part.UNCHECKED;
    }
    if (interim) {
      return Part.STATUS_LINE;
    }
    return chunked ? Part.CHUNK_SIZE : Part.UNCHECKED;
  }

  private void startChunk(String text) throws ProtocolException {
    int extension = text.indexOf(';');
    String size = extension < 0 ? text : text.substring(0, extension).strip();
    try {
      chunkBytesLeft = Long.parseLong(size, HEXADECIMAL);
    } catch (NumberFormatException e) {
      throw new ProtocolException("size of a chunk is no number");
    }
    part = chunkBytesLeft > 0 ? Part.CHUNK_DATA : Part.TRAILER;
  }
}
