package org.teaseltrestle.testkit.fakes;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.testng.annotations.Test;

/** Tests of the reservations of ports by several test kits. */
public final class PortReservationsTest {

  /** Two test kits that choose ports at the same time. */
  public static final class Conflicts {

    /**
     * Guards against a node that cannot open its caller port because another test kit has chosen
     * the same one. This occurred when two checkouts ran their tests at the same time.
     */
    @Test
    public void portIsReservedOnce() throws IOException {
      Path folder = Files.createTempDirectory("ports");
      PortReservations first = new PortReservations(folder);
      PortReservations second = new PortReservations(folder);
      assertTrue(first.reserve(14_133));
      assertFalse(first.reserve(14_133));
      assertFalse(second.reserve(14_133));
      assertTrue(second.reserve(14_134));
      first.release(14_133);
      assertTrue(second.reserve(14_133));
    }
  }
}
