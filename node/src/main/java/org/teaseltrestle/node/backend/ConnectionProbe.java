package org.teaseltrestle.node.backend;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.time.Duration;
import java.util.function.Predicate;
import okhttp3.HttpUrl;
import org.teaseltrestle.node.port.AttemptFailure;

/** Tests whether a connection to a backend server can be opened; sends nothing. */
public final class ConnectionProbe implements Predicate<String> {

  private final Duration timeout;

  /** Creates a probe that waits for a connection for a time. */
  public ConnectionProbe(Duration timeout) {
    this.timeout = timeout;
  }

  @Override
  public boolean test(String address) {
    try (Socket socket = new Socket()) {
      HttpUrl url = BackendAddress.url(address, "/");
      socket.connect(new InetSocketAddress(url.host(), url.port()), (int) timeout.toMillis());
      return true;
    } catch (IOException | AttemptFailure e) {
      // The caller logs the outcome.
      return false;
    }
  }
}
