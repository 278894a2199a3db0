package org.teaseltrestle.testkit.fakes;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.TrestleException;

/** Loopback addresses as {@code host:port}. */
public final class Addresses {

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

  /** Returns distinct free loopback addresses. */
  public static List<String> free(int count) {
    List<ServerSocket> held = new ArrayList<>();
    List<String> addresses = new ArrayList<>();
    try {
      for (int i = 0; i < count; i++) {
        ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        held.add(socket);
        addresses.add("127.0.0.1:" + socket.getLocalPort());
      }
      for (ServerSocket socket : held) {
        socket.close();
      }
      return addresses;
    } catch (IOException e) {
      throw new TrestleException(ErrorCode.UNREACHABLE, "no free port on loopback", e);
    }
  }
}
