package org.teaseltrestle.node.backend;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import javax.net.SocketFactory;

/** Creates sockets with TCP_NODELAY, so that small writes are sent without delay. */
final class NoDelaySocketFactory extends SocketFactory {

  @Override
  public Socket createSocket() throws IOException {
    Socket socket = new Socket();
    socket.setTcpNoDelay(true);
    return socket;
  }

  @Override
  public Socket createSocket(String host, int port) throws IOException {
    return withNoDelay(new Socket(host, port));
  }

  @Override
  public Socket createSocket(String host, int port, InetAddress localAddress, int localPort)
      throws IOException {
    return withNoDelay(new Socket(host, port, localAddress, localPort));
  }

  @Override
  public Socket createSocket(InetAddress address, int port) throws IOException {
    return withNoDelay(new Socket(address, port));
  }

  @Override
  public Socket createSocket(InetAddress address, int port, InetAddress localAddress, int localPort)
      throws IOException {
    return withNoDelay(new Socket(address, port, localAddress, localPort));
  }

  private static Socket withNoDelay(Socket socket) throws IOException {
    socket.setTcpNoDelay(true);
    return socket;
  }
}
