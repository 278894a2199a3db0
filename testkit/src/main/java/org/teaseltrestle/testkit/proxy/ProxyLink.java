package org.teaseltrestle.testkit.proxy;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.teaseltrestle.kernel.EventLog;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.TrestleException;
import org.teaseltrestle.testkit.TestkitEvent;

/** One link: forwards connections from a listening address to a target, according to its mode. */
public final class ProxyLink implements AutoCloseable {

  private static final EventLog LOG = EventLog.of(ProxyLink.class);
  private static final int CONNECT_TIMEOUT_MILLIS = 2000;
  private static final int BACKLOG = 64;

  private final String name;
  private final InetSocketAddress target;
  private final ServerSocket listener;
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private LinkMode mode = LinkMode.PASS;
  private long delayMillis;
  private volatile boolean closed;

  private ProxyLink(String name, InetSocketAddress target, ServerSocket listener) {
    this.name = name;
    this.target = target;
    this.listener = listener;
  }

  static ProxyLink open(String name, InetSocketAddress listen, InetSocketAddress target) {
    try {
      ServerSocket listener = new ServerSocket();
      listener.setReuseAddress(true);
      listener.bind(listen, BACKLOG);
      ProxyLink link = new ProxyLink(name, target, listener);
      link.startThread("accept", link::acceptAll);
      return link;
    } catch (IOException e) {
      throw new TrestleException(
          ErrorCode.UNREACHABLE, "proxy link " + name + " cannot listen on " + listen, e);
    }
  }

  /** Returns the link's name. */
  public String name() {
    return name;
  }

  /** Returns the listening address as {@code host:port}. */
  public String address() {
    return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
  }

  /** Returns the current mode. */
  public synchronized LinkMode mode() {
    return mode;
  }

  /** Sets the mode for open and new connections; {@code REFUSE} closes the open ones. */
  public void set(LinkMode newMode) {
    synchronized (this) {
      mode = newMode;
      notifyAll();
    }
    if (newMode == LinkMode.REFUSE) {
      breakConnections();
    }
  }

  /** Sets the mode to {@code DELAY} with a delay in milliseconds in each direction. */
  public void delay(long millis) {
    synchronized (this) {
      delayMillis = millis;
    }
    set(LinkMode.DELAY);
  }

  /** Closes all open connections. */
  public void breakConnections() {
    sockets.forEach(ProxyLink::closeQuietly);
    sockets.clear();
  }

  /** Returns the number of open connections. */
  public int connections() {
    return sockets.size() / 2;
  }

  @Override
  public void close() {
    closed = true;
    closeQuietly(listener);
    set(LinkMode.REFUSE);
  }

  /**
   * Blocks until the mode lets bytes of this direction be forwarded, after the delay if one is set.
   */
  void awaitForwarding(boolean forward) throws InterruptedException {
    long delay = 0;
    synchronized (this) {
      while (!closed && (forward ? mode.holdsForward() : mode.holdsBackward())) {
        wait();
      }
      if (mode == LinkMode.DELAY) {
        delay = delayMillis;
      }
    }
    if (delay > 0) {
      Thread.sleep(delay);
    }
  }

  private void acceptAll() {
    while (!closed) {
      try {
        Socket client = listener.accept();
        if (mode() == LinkMode.REFUSE) {
          closeQuietly(client);
        } else {
          startThread("connect", () -> connect(client));
        }
      } catch (IOException e) {
        if (!closed) {
          LOG.warn(TestkitEvent.PROXY_LINK_FAILED, e, "link", name);
        }
      }
    }
  }

  private void connect(Socket client) {
    sockets.add(client);
    Socket upstream = new Socket();
    try {
      awaitForwarding(true);
      upstream.connect(target, CONNECT_TIMEOUT_MILLIS);
      sockets.add(upstream);
      client.setTcpNoDelay(true);
      upstream.setTcpNoDelay(true);
      new ProxyPump(this, client, upstream, true).start();
      new ProxyPump(this, upstream, client, false).start();
    } catch (IOException e) {
      closeBoth(client, upstream);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      closeBoth(client, upstream);
    }
  }

  void closeBoth(Socket first, Socket second) {
    closeQuietly(first);
    closeQuietly(second);
    sockets.remove(first);
    sockets.remove(second);
  }

  private void startThread(String role, Runnable task) {
    Thread thread = new Thread(task, "proxy-" + name + "-" + role);
    thread.setDaemon(true);
    thread.start();
  }

  private static void closeQuietly(AutoCloseable closeable) {
    try {
      closeable.close();
    } catch (Exception e) {
      LOG.warn(TestkitEvent.PROXY_LINK_FAILED, e);
    }
  }
}
