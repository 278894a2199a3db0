package org.teaseltrestle.testkit.fakes;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.TrestleException;

/** Loopback addresses as {@code host:port}. */
public final class Addresses {

  private static final int LOWEST_PORT = 12_000;
  private static final int END_PORT = 32_000;
  private static final int MAXIMUM_ATTEMPTS = 10_000;
  private static final PortReservations RESERVATIONS =
      new PortReservations(
          Path.of(System.getProperty("java.io.tmpdir"), "teaseltrestle-testkit-ports"));

  private Addresses() {}

  /**
   * Parses {@code host:port}, with or without {@code http://} before it; throws {@code
   * INVALID_SETTINGS} if there is no port.
   */
  public static InetSocketAddress parse(String text) {
    String hostAndPort = text.startsWith("http://") ? text.substring("http://".length()) : text;
    int colon = hostAndPort.lastIndexOf(':');
    if (colon < 0) {
      throw new TrestleException(ErrorCode.INVALID_SETTINGS, text + " is not host:port");
    }
    return new InetSocketAddress(
        hostAndPort.substring(0, colon), Integer.parseInt(hostAndPort.substring(colon + 1)));
  }

  /**
   * Returns distinct unused loopback addresses, none of which this or another running test kit has
   * returned before. Their ports are below the ephemeral range: a port of that range may be taken
   * by an outgoing connection before the server opens it.
   */
  public static List<String> unusedLoopback(int count) {
    List<String> addresses = new ArrayList<>();
    for (int attempt = 0; attempt < MAXIMUM_ATTEMPTS && addresses.size() < count; attempt++) {
      int port = ThreadLocalRandom.current().nextInt(LOWEST_PORT, END_PORT);
      if (RESERVATIONS.reserve(port)) {
        if (isUnused(port)) {
          addresses.add("127.0.0.1:" + port);
        } else {
          RESERVATIONS.release(port);
        }
      }
    }
    if (addresses.size() < count) {
      throw new TrestleException(ErrorCode.UNREACHABLE, "too few unused ports on loopback");
    }
    return addresses;
  }

  private static boolean isUnused(int port) {
    try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
      return socket.isBound();
    } catch (IOException e) {
      return false;
    }
  }
}
