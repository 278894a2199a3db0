package org.teaseltrestle.testkit.proxy;

import java.io.IOException;
import java.net.Socket;

/** Forwards the bytes of one direction of one connection. */
final class ProxyPump extends Thread {

  private static final int BUFFER_BYTES = 16 * 1024;

  private final ProxyLink link;
  private final Socket source;
  private final Socket sink;
  private final boolean forward;

  ProxyPump(ProxyLink link, Socket source, Socket sink, boolean forward) {
    super("proxy-" + link.name() + (forward ? "-forward" : "-backward"));
    setDaemon(true);
    this.link = link;
    this.source = source;
    this.sink = sink;
    this.forward = forward;
  }

  @Override
  public void run() {
    byte[] buffer = new byte[BUFFER_BYTES];
    try {
      int count = source.getInputStream().read(buffer);
      while (count >= 0) {
        link.awaitForwarding(forward);
        sink.getOutputStream().write(buffer, 0, count);
        count = source.getInputStream().read(buffer);
      }
      // The end of the stream is held back like the bytes before it.
      link.awaitForwarding(forward);
      sink.shutdownOutput();
      if (source.isOutputShutdown()) {
        link.closeBoth(source, sink);
      }
    } catch (IOException e) {
      link.closeBoth(source, sink);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      link.closeBoth(source, sink);
    }
  }
}
