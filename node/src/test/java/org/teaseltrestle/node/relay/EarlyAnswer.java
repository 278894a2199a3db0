package org.teaseltrestle.node.relay;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.teaseltrestle.kernel.DaemonThreads;

/** Server that answers as soon as the head of a request has arrived, and resets the connection. */
final class EarlyAnswer implements AutoCloseable {

  private final ServerSocket server;
  private final byte[] answer;
  private final List<Socket> sockets = new CopyOnWriteArrayList<>();

  /** Starts a server that sends an answer and then resets the connection. */
  EarlyAnswer(String answer) {
    this.answer = answer.getBytes(StandardCharsets.ISO_8859_1);
    try {
      server = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    new DaemonThreads("early-answer").newThread(this::accept).start();
  }

  String address() {
    return "http://127.0.0.1:" + server.getLocalPort();
  }

  private void accept() {
    while (!server.isClosed()) {
      try (Socket socket = server.accept()) {
        sockets.add(socket);
        readHead(socket.getInputStream());
        socket.getOutputStream().write(answer);
        socket.getOutputStream().flush();
        socket.setSoLinger(true, 0);
      } catch (IOException e) {
        // The relay may end the connection first.
        continue;
      }
    }
  }

  private static void readHead(InputStream input) throws IOException {
    StringBuilder head = new StringBuilder();
    while (!head.toString().endsWith("\r\n\r\n")) {
      int next = input.read();
      if (next < 0) {
        throw new IOException("connection ended in the head");
      }
      head.append((char) next);
    }
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
}
