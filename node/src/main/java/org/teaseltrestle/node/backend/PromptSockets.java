package org.teaseltrestle.node.backend;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import javax.net.SocketFactory;

/** Makes sockets that send small writes at once instead of waiting for more. */
final class PromptSockets extends SocketFactory {

  @Override
  public Socket createSocket() throws IOException {
    Socket socket = new Socket();
    socket.setTcpNoDelay(true);
    return socket;
  }

  @Override
  public Socket createSocket(String host, int port) throws IOException {
    return prompt(new Socket(host, port));
  }

  @Override
  public Socket createSocket(String host, int port, InetAddress localAddress, int localPort)
      throws IOException {
    return prompt(new Socket(host, port, localAddress, localPort));
  }

  @Override
  public Socket createSocket(InetAddress address, int port) throws IOException {
    return prompt(new Socket(address, port));
  }

  @Override
  public Socket createSocket(InetAddress address, int port, InetAddress localAddress, int localPort)
      throws IOException {
    return prompt(new Socket(address, port, localAddress, localPort));
  }

  private static Socket prompt(Socket socket) throws IOException {
    socket.setTcpNoDelay(true);
    return socket;
  }
}
