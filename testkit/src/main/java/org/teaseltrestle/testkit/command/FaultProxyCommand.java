package org.teaseltrestle.testkit.command;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import org.teaseltrestle.kernel.Closer;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.TrestleException;
import org.teaseltrestle.testkit.http.FakeHttpServer;
import org.teaseltrestle.testkit.proxy.FaultProxy;

/** Runs the fault proxy until the process is terminated. */
@Command(name = "fault-proxy", description = "Runs a fault-injecting TCP proxy")
public final class FaultProxyCommand implements Callable<Integer> {

  @Option(name = "--link", description = "NAME=LISTEN=TARGET (repeat for several)")
  @Required
  private List<String> links = new ArrayList<>();

  @Option(name = "--control", description = "Address of the control interface")
  private String control = "127.0.0.1:0";

  @Override
  public Integer call() {
    Closer closer = new Closer();
    FaultProxy proxy = closer.register(new FaultProxy());
    for (String link : links) {
      String[] parts = link.split("=", -1);
      if (parts.length != 3) {
        throw new TrestleException(ErrorCode.INVALID_SETTINGS, link + " is not NAME=LISTEN=TARGET");
      }
      proxy.open(parts[0], parts[1], parts[2]);
    }
    FakeHttpServer controlServer = closer.register(proxy.control(control));
    Foreground.awaitShutdown(closer, "ready " + controlServer.hostAndPort());
    return 0;
  }
}
