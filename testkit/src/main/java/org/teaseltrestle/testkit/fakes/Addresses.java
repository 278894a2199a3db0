package org.teaseltrestle.testkit.fakes;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.TrestleException;

/** Loopback addresses as {@code host:port}. */
public final class Addresses {

  private static final int LOWEST_PORT = 12_000;
  private static final int END_PORT = 32_000;
  private static final int TRIALS = 10_000;
  private static final Set<Integer> GIVEN = ConcurrentHashMap.newKeySet();

  private Addresses() {}

  /** Parses {@code host:port}, with or without {@code http://} in front. */
  public static InetSocketAddress parse(String text) {
    String bare = text.startsWith("http://") ? text.substring("http://".length()) : text;
    int colon = bare.lastIndexOf(':');
    if (colon < 0) {
      throw new TrestleException(ErrorCode.INVALID_SETTINGS, text + " is not host:port");
    }
    return new InetSocketAddress(
        bare.substring(0, colon), Integer.parseInt(bare.substring(colon + 1)));
  }

  /**
   * Returns distinct free loopback addresses, each given out once in this process. They lie below
   * the range from which the system takes the local ports of connections: a port of that range may
   * be taken by some connection before its server opens it.
   */
  public static List<String> free(int count) {
    List<String> addresses = new ArrayList<>();
    for (int trial = 0; trial < TRIALS && addresses.size() < count; trial++) {
      int port = ThreadLocalRandom.current().nextInt(LOWEST_PORT, END_PORT);
      if (!GIVEN.contains(port) && isFree(port) && GIVEN.add(port)) {
        addresses.add("127.0.0.1:" + port);
      }
    }
    if (addresses.size() < count) {
      throw new TrestleException(ErrorCode.UNREACHABLE, "too few free ports on loopback");
    }
    return addresses;
  }

  private static boolean isFree(int port) {
    try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
      return socket.isBound();
    } catch (IOException e) {
      return false;
    }
  }
}
