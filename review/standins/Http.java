import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/** Sends HTTP/1.1 requests, each on a connection of its own. */
final class Http {

  private static final ScheduledExecutorService LIMITS =
      Executors.newSingleThreadScheduledExecutor(
          task -> {
            Thread thread = new Thread(task, "limits");
            thread.setDaemon(true);
            return thread;
          });

  private Http() {}

  private static void closeQuietly(Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      System.err.println("cannot close a connection: " + e);
    }
  }

  /** Response; the status is 0 if the connection could not be opened or ended early, -1 if no
   * complete response arrived in time. */
  static final class Response {
    int status;
    String failure = "";
    final Map<String, String> headers = new LinkedHashMap<>();
    byte[] body = new byte[0];
    double millis;

    String text() {
      return new String(body, StandardCharsets.UTF_8);
    }

    @Override
    public String toString() {
      String shown = status > 0 ? Integer.toString(status) : "no answer (" + failure + ")";
      return shown + String.format(Locale.ROOT, " after %.0f ms", millis);
    }
  }

  static Response send(String address, int port, String method, String target,
      Map<String, String> headers, byte[] body, int timeoutMillis) {
    Response response = new Response();
    long start = System.nanoTime();
    ScheduledFuture<?> limit = null;
    try (Socket socket = new Socket()) {
      // A write has no timeout of its own; the other side may never read the rest of a body.
      limit = LIMITS.schedule(() -> closeQuietly(socket), timeoutMillis, TimeUnit.MILLISECONDS);
      socket.connect(new InetSocketAddress(address, port), Math.min(1_000, timeoutMillis));
      socket.setTcpNoDelay(true);
      long end = start + timeoutMillis * 1_000_000L;
      socket.setSoTimeout(timeoutMillis);
      StringBuilder head = new StringBuilder(method + " " + target + " HTTP/1.1\r\n");
      headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
      if (body.length > 0 || !method.equals("GET")) {
        head.append("Content-Length: ").append(body.length).append("\r\n");
      }
      head.append("\r\n");
      OutputStream out = socket.getOutputStream();
      out.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
      out.write(body);
      out.flush();
      read(new BufferedInputStream(socket.getInputStream()), response, socket, end);
    } catch (java.net.SocketTimeoutException e) {
      response.status = -1;
      response.failure = "time limit";
    } catch (IOException e) {
      boolean late = limit != null && limit.isDone();
      response.status = late ? -1 : 0;
      response.failure =
          late ? "time limit" : e.getMessage() == null ? e.toString() : e.getMessage();
    } finally {
      if (limit != null) {
        limit.cancel(false);
      }
    }
    response.millis = (System.nanoTime() - start) / 1e6;
    return response;
  }

  private static void read(InputStream in, Response response, Socket socket, long end)
      throws IOException {
    String line = line(in, socket, end);
    int status = Integer.parseInt(line.split(" ")[1]);
    while (!(line = line(in, socket, end)).isEmpty()) {
      int colon = line.indexOf(':');
      response.headers.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
    }
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    if ("chunked".equalsIgnoreCase(response.headers.get("transfer-encoding"))) {
      int size;
      while ((size = Integer.parseInt(line(in, socket, end).trim(), 16)) > 0) {
        copy(in, body, size, socket, end);
        line(in, socket, end);
      }
      line(in, socket, end);
    } else {
      copy(in, body, Integer.parseInt(response.headers.getOrDefault("content-length", "0")), socket,
          end);
    }
    response.body = body.toByteArray();
    response.status = status;
  }

  private static void limit(Socket socket, long end) throws IOException {
    long left = (end - System.nanoTime()) / 1_000_000;
    if (left <= 0) {
      throw new java.net.SocketTimeoutException("time limit");
    }
    socket.setSoTimeout((int) left);
  }

  private static void copy(InputStream in, ByteArrayOutputStream out, int size, Socket socket,
      long end) throws IOException {
    byte[] buffer = new byte[16 * 1024];
    int left = size;
    while (left > 0) {
      limit(socket, end);
      int count = in.read(buffer, 0, Math.min(left, buffer.length));
      if (count < 0) {
        throw new IOException("the answer ended early");
      }
      out.write(buffer, 0, count);
      left -= count;
    }
  }

  private static String line(InputStream in, Socket socket, long end) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    limit(socket, end);
    int value;
    while ((value = in.read()) != '\n') {
      if (value < 0) {
        throw new IOException("the connection was closed without an answer");
      }
      if (value != '\r') {
        line.write(value);
      }
    }
    return line.toString(StandardCharsets.ISO_8859_1);
  }
}
