package org.teaseltrestle.node.relay;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.locks.LockSupport;
import org.jspecify.annotations.Nullable;

/** Fake HTTP server over plain sockets, so that a test controls every byte and every close. */
final class FakeServer implements AutoCloseable {

  /** Responds to one request; the connection is closed if it returns false. */
  interface Behaviour {
    boolean respond(Received request, OutputStream output) throws IOException;
  }

  /** Thrown by a behaviour to end the connection with a reset. */
  static final class ResetException extends IOException {
    private static final long serialVersionUID = 1;
  }

  /** Request as received. */
  record Received(String method, String target, Map<String, String> headers, String body) {

    String header(String name) {
      return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }
  }

  private final ServerSocket server;
  private final List<Socket> sockets = new CopyOnWriteArrayList<>();
  final List<Received> received = new CopyOnWriteArrayList<>();
  volatile Behaviour behaviour;

  FakeServer(Behaviour behaviour) {
    this.behaviour = behaviour;
    try {
      this.server = new ServerSocket(0, 512, InetAddress.getLoopbackAddress());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    startDaemon(this::accept);
  }

  String address() {
    return "http://127.0.0.1:" + server.getLocalPort();
  }

  @Override
  public void close() {
    try {
      server.close();
      for (Socket socket : sockets) {
        socket.close();
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  static void send(OutputStream output, int status, String headers, String body)
      throws IOException {
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    String head =
        "HTTP/1.1 " + status + " x\r\nContent-Length: " + bytes.length + "\r\n" + headers + "\r\n";
    output.write((head + body).getBytes(StandardCharsets.UTF_8));
    output.flush();
  }

  static void startStream(OutputStream output, String requestId) throws IOException {
    String head =
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
            + "X-Request-Id: "
            + requestId
            + "\r\n\r\n";
    output.write(head.getBytes(StandardCharsets.UTF_8));
  }

  static void event(OutputStream output, String data) throws IOException {
    byte[] event = ("data: " + data + "\n\n").getBytes(StandardCharsets.UTF_8);
    output.write((Integer.toHexString(event.length) + "\r\n").getBytes(StandardCharsets.UTF_8));
    output.write(event);
    output.write("\r\n".getBytes(StandardCharsets.UTF_8));
    output.flush();
  }

  static void endStream(OutputStream output) throws IOException {
    event(output, "[DONE]");
    output.write("0\r\n\r\n".getBytes(StandardCharsets.UTF_8));
    output.flush();
  }

  /** Returns token {@code index} of a completion of {@code count} tokens. */
  static String token(String id, int index, int count) {
    boolean last = index == count - 1;
    String usage =
        "\"usage\":{\"prompt_tokens\":2,\"completion_tokens\":" + count + ",\"total_tokens\":9},";
    return "{\"id\":\""
        + id
        + "\","
        + (last ? usage : "")
        + "\"trestle_token_index\":"
        + index
        + ",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"t"
        + index
        + " \"},\"finish_reason\":"
        + (last ? "\"stop\"" : "null")
        + "}]}";
  }

  /** Streams a complete response, starting at the token from which the request resumes. */
  static Behaviour engine(int count) {
    return (request, output) -> {
      String id = request.header("X-Request-Id");
      startStream(output, id);
      for (int i = firstToken(request); i < count; i++) {
        event(output, token(id, i, count));
      }
      endStream(output);
      return true;
    };
  }

  static int firstToken(Received request) {
    int start = request.body().indexOf("\"output_tokens\":");
    return start < 0
        ? 0
        : Integer.parseInt(request.body().substring(start + 16).replaceAll("\\D.*", ""));
  }

  /** Keeps the connection open without sending anything for the rest of the test. */
  static boolean stall() {
    while (true) {
      LockSupport.park();
    }
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        Socket socket = server.accept();
        socket.setTcpNoDelay(true);
        sockets.add(socket);
        startDaemon(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      serveUntilClose(socket);
    } catch (IOException e) {
      // The relay closed the connection, which some tests provoke.
      return;
    }
  }

  private void serveUntilClose(Socket socket) throws IOException {
    try {
      InputStream input = new BufferedInputStream(socket.getInputStream());
      OutputStream output = socket.getOutputStream();
      Received request = read(input);
      while (request != null) {
        received.add(request);
        if (!behaviour.respond(request, output)) {
          return;
        }
        request = read(input);
      }
    } catch (ResetException e) {
      socket.setSoLinger(true, 0);
    }
  }

  private static @Nullable Received read(InputStream input) throws IOException {
    String start = line(input);
    if (start.isEmpty()) {
      return null;
    }
    Map<String, String> headers = new TreeMap<>();
    for (String line = line(input); !line.isEmpty(); line = line(input)) {
      int colon = line.indexOf(':');
      headers.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
    }
    int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
    byte[] body = input.readNBytes(length);
    String[] parts = start.split(" ", 3);
    return new Received(parts[0], parts[1], headers, new String(body, StandardCharsets.UTF_8));
  }

  private static String line(InputStream input) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int next = input.read(); next >= 0 && next != '\n'; next = input.read()) {
      if (next != '\r') {
        line.write(next);
      }
    }
    return line.toString(StandardCharsets.UTF_8);
  }

  private static void startDaemon(Runnable task) {
    Thread thread = new Thread(task, "stand-in");
    thread.setDaemon(true);
    thread.start();
  }
}
