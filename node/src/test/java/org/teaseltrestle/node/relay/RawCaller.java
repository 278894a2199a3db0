package org.teaseltrestle.node.relay;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import org.jspecify.annotations.Nullable;

/** Caller over a plain socket, which judges by the framing alone whether a response is complete. */
final class RawCaller implements AutoCloseable {

  private static final int READ_TIMEOUT_MILLIS = 8_000;
  private static final int MAXIMUM_AWAITED_BYTES = 64 * 1024;

  private final Socket socket;
  private final InputStream input;

  RawCaller(int port) throws IOException {
    socket = new Socket(InetAddress.getLoopbackAddress(), port);
    socket.setTcpNoDelay(true);
    socket.setSoTimeout(READ_TIMEOUT_MILLIS);
    input = new BufferedInputStream(socket.getInputStream());
  }

  /** Whether a response looks complete to its receiver. */
  enum End {
    COMPLETE,
    BROKEN
  }

  /** Response as received. */
  record Response(int status, String head, String body, End end) {

    @Nullable String header(String name) {
      String prefix = "\r\n" + name.toLowerCase(Locale.ROOT) + ":";
      int start = head.toLowerCase(Locale.ROOT).indexOf(prefix);
      if (start < 0) {
        return null;
      }
      int valueStart = start + prefix.length();
      return head.substring(valueStart, head.indexOf("\r\n", valueStart)).strip();
    }
  }

  RawCaller send(String request) throws IOException {
    socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
    return this;
  }

  /** Sends a request with an identifier, without a body. */
  RawCaller request(String line, String... fields) throws IOException {
    StringBuilder text = new StringBuilder(line).append("\r\nHost: 127.0.0.1\r\n");
    text.append("X-Request-Id: id-1\r\n");
    for (String field : fields) {
      text.append(field).append("\r\n");
    }
    return send(text.append("\r\n").toString());
  }

  /** Reads the response to a request of the given method. */
  Response read(String method) {
    ByteArrayOutputStream head = new ByteArrayOutputStream();
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    End end = End.BROKEN;
    try {
      readHead(head);
      end = readBody(method, text(head), body);
    } catch (IOException e) {
      // A reset is one of the ways in which a broken response ends.
      end = End.BROKEN;
    }
    String headText = text(head);
    int status = headText.length() < 12 ? 0 : Integer.parseInt(headText.substring(9, 12));
    return new Response(status, headText, text(body), end);
  }

  /** Waits until a text has arrived, which is read again by {@link #read}. */
  void awaitBytes(String expected) throws IOException {
    input.mark(MAXIMUM_AWAITED_BYTES);
    ByteArrayOutputStream received = new ByteArrayOutputStream();
    while (!text(received).contains(expected)) {
      received.write(readByte());
    }
    input.reset();
  }

  /** Returns whether the connection stays open and silent for the given time. */
  boolean staysOpen(int millis) throws IOException {
    socket.setSoTimeout(millis);
    try {
      input.read();
      return false;
    } catch (SocketTimeoutException e) {
      return true;
    } catch (SocketException e) {
      return false;
    } finally {
      socket.setSoTimeout(READ_TIMEOUT_MILLIS);
    }
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }

  private void readHead(ByteArrayOutputStream head) throws IOException {
    while (!text(head).endsWith("\r\n\r\n")) {
      head.write(readByte());
    }
  }

  private End readBody(String method, String head, ByteArrayOutputStream body) throws IOException {
    Response parsed = new Response(0, head, "", End.BROKEN);
    int status = Integer.parseInt(head.substring(9, 12));
    if (method.equals("HEAD") || status == 204 || status == 304 || status < 200) {
      return End.COMPLETE;
    }
    String coding = parsed.header("Transfer-Encoding");
    String length = parsed.header("Content-Length");
    if (coding != null) {
      readChunks(body);
    } else if (length != null) {
      for (long left = Long.parseLong(length); left > 0; left--) {
        body.write(readByte());
      }
    } else {
      for (int next = input.read(); next >= 0; next = input.read()) {
        body.write(next);
      }
    }
    return End.COMPLETE;
  }

  private void readChunks(ByteArrayOutputStream body) throws IOException {
    while (true) {
      int size = Integer.parseInt(readLine(), 16);
      for (int i = 0; i < size; i++) {
        body.write(readByte());
      }
      String separator = readLine();
      if (!separator.isEmpty()) {
        throw new IOException("chunk is followed by \"" + separator + "\"");
      }
      if (size == 0) {
        return;
      }
    }
  }

  private String readLine() throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int next = readByte(); next != '\n'; next = readByte()) {
      if (next != '\r') {
        line.write(next);
      }
    }
    return text(line);
  }

  private int readByte() throws IOException {
    int next = input.read();
    if (next < 0) {
      throw new IOException("connection ended within the response");
    }
    return next;
  }

  private static String text(ByteArrayOutputStream bytes) {
    return bytes.toString(StandardCharsets.ISO_8859_1);
  }
}
