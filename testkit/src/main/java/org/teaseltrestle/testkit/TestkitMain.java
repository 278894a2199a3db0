package org.teaseltrestle.testkit;

import com.github.rvesse.airline.Cli;
import com.github.rvesse.airline.annotations.Parser;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.parser.errors.ParseException;
import java.util.concurrent.Callable;
import org.teaseltrestle.model.TrestleException;
import org.teaseltrestle.testkit.command.CertificatesCommand;
import org.teaseltrestle.testkit.command.FakeEngineCommand;
import org.teaseltrestle.testkit.command.FakePlatformCommand;
import org.teaseltrestle.testkit.command.FakeServiceCommand;
import org.teaseltrestle.testkit.command.FaultProxyCommand;
import org.teaseltrestle.testkit.command.LocalClusterCommand;
import org.teaseltrestle.testkit.command.MakeTraceCommand;
import org.teaseltrestle.testkit.command.MeasureCapacityCommand;
import org.teaseltrestle.testkit.command.ReplayCommand;
import org.teaseltrestle.testkit.command.SoakCommand;

/** Entry point of the test kit. Exit codes: 0 success, 1 failure, 2 invalid usage. */
@com.github.rvesse.airline.annotations.Cli(
    name = "testkit",
    description = "Fakes, fault proxy, traces and replay for tests",
    defaultCommand = Help.class,
    parserConfiguration = @Parser(),
    commands = {
      FakeEngineCommand.class,
      FakeServiceCommand.class,
      FakePlatformCommand.class,
      FaultProxyCommand.class,
      LocalClusterCommand.class,
      ReplayCommand.class,
      MakeTraceCommand.class,
      MeasureCapacityCommand.class,
      CertificatesCommand.class,
      SoakCommand.class,
      Help.class
    })
public final class TestkitMain {

  private static final String LOG_CONFIGURATION = "testkit-logback.xml";
  private static final int FAILED = 1;
  private static final int INVALID_USAGE = 2;

  private TestkitMain() {}

  /** Runs the command given by the arguments. */
  public static void main(String[] arguments) {
    System.setProperty("logback.configurationFile", LOG_CONFIGURATION);
    System.exit(run(arguments));
  }

  private static int run(String[] arguments) {
    try {
      Object command = new Cli<Object>(TestkitMain.class).parse(arguments);
      if (command instanceof Callable<?> callable) {
        return callable.call() instanceof Integer code ? code : 0;
      }
      if (command instanceof Runnable runnable) {
        runnable.run();
      }
      return 0;
    } catch (ParseException e) {
      System.err.println(e.getMessage());
      return INVALID_USAGE;
    } catch (TrestleException e) {
      System.err.println(e.code() + " " + e.getMessage());
      return FAILED;
    } catch (Exception e) {
      throw new IllegalStateException("command failed", e);
    }
  }
}
