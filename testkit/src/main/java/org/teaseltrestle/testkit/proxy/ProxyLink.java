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

/** One directed link: a listening address, a target, and what happens to the bytes between them. */
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
      link.thread("accept", link::acceptAll);
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

  /** Returns the mode. */
  public synchronized LinkMode mode() {
    return mode;
  }

  /** Sets the mode for open and new connections. */
  public void set(LinkMode newMode) {
    synchronized (this) {
      mode = newMode;
      notifyAll();
    }
    if (newMode == LinkMode.REFUSE) {
      breakConnections();
    }
  }

  /** Delays all bytes by a time in milliseconds. */
  public void delay(long millis) {
    synchronized (this) {
      delayMillis = millis;
    }
    set(LinkMode.DELAY);
  }

  /** Breaks all open connections. */
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

  /** Waits as the direction's mode demands; returns when bytes may go on. */
  void awaitPassage(boolean forward) throws InterruptedException {
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
        Socket caller = listener.accept();
        if (mode() == LinkMode.REFUSE) {
          closeQuietly(caller);
        } else {
          thread("connect", () -> connect(caller));
        }
      } catch (IOException e) {
        if (!closed) {
          LOG.warn(TestkitEvent.PROXY_LINK_FAILED, e, "link", name);
        }
      }
    }
  }

  private void connect(Socket caller) {
    sockets.add(caller);
    Socket callee = new Socket();
    try {
      awaitPassage(true);
      callee.connect(target, CONNECT_TIMEOUT_MILLIS);
      sockets.add(callee);
      caller.setTcpNoDelay(true);
      callee.setTcpNoDelay(true);
      new ProxyPump(this, caller, callee, true).start();
      new ProxyPump(this, callee, caller, false).start();
    } catch (IOException e) {
      drop(caller, callee);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      drop(caller, callee);
    }
  }

  void drop(Socket one, Socket other) {
    closeQuietly(one);
    closeQuietly(other);
    sockets.remove(one);
    sockets.remove(other);
  }

  private void thread(String role, Runnable task) {
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
