package org.teaseltrestle.node.backend;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import javax.net.SocketFactory;
import org.teaseltrestle.kernel.MonotonicClock;

/** Creates {@link BoundedSocket}s with TCP_NODELAY, so that small writes are sent without delay. */
final class BoundedSocketFactory extends SocketFactory {

  private final MonotonicClock clock;
  private final int maximumUndeliveredBytes;

  BoundedSocketFactory(MonotonicClock clock, int maximumUndeliveredBytes) {
    this.clock = clock;
    this.maximumUndeliveredBytes = maximumUndeliveredBytes;
  }

  @Override
  public Socket createSocket() throws IOException {
    Socket socket = new BoundedSocket(clock, maximumUndeliveredBytes);
    socket.setTcpNoDelay(true);
    return socket;
  }

  @Override
  public Socket createSocket(String host, int port) throws IOException {
    return connect(createSocket(), new InetSocketAddress(host, port));
  }

  @Override
  public Socket createSocket(String host, int port, InetAddress localAddress, int localPort)
      throws IOException {
    return connect(bound(localAddress, localPort), new InetSocketAddress(host, port));
  }

  @Override
  public Socket createSocket(InetAddress address, int port) throws IOException {
    return connect(createSocket(), new InetSocketAddress(address, port));
  }

  @Override
  public Socket createSocket(InetAddress address, int port, InetAddress localAddress, int localPort)
      throws IOException {
    return connect(bound(localAddress, localPort), new InetSocketAddress(address, port));
  }

  private Socket bound(InetAddress localAddress, int localPort) throws IOException {
    Socket socket = createSocket();
    socket.bind(new InetSocketAddress(localAddress, localPort));
    return socket;
  }

  private static Socket connect(Socket socket, InetSocketAddress address) throws IOException {
    socket.connect(address);
    return socket;
  }
}
