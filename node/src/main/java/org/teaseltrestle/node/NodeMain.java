package org.teaseltrestle.node;

import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import com.github.rvesse.airline.parser.errors.ParseException;
import java.nio.file.Path;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.kernel.FatalErrors;
import org.teaseltrestle.model.TrestleException;
import org.teaseltrestle.node.settings.NodeSettings;
import org.teaseltrestle.node.settings.NodeSettingsParser;

/** Runs a node until it is asked to stop. */
@Command(name = "teaseltrestle-node", description = "Runs a node of teaseltrestle")
public final class NodeMain {

  private static final int EXIT_FAILED = 1;
  private static final int EXIT_USAGE = 2;

  @Required
  @Arguments(title = "settings-file", description = "Settings of the node, JSON with comments")
  private @Nullable String settingsFile;

  /** Starts a node; exits with 1 if it cannot start and with 2 on invalid settings. */
  public static void main(String[] arguments) {
    FatalErrors.endProcessOnError();
    NodeSettings settings;
    try {
      NodeMain command = SingleCommand.singleCommand(NodeMain.class).parse(arguments);
      settings = NodeSettingsParser.read(Path.of(String.valueOf(command.settingsFile)));
    } catch (ParseException | TrestleException e) {
      System.err.println(e.getMessage());
      System.exit(EXIT_USAGE);
      return;
    }
    try {
      NodeProcess process =
          DaggerNodeComponent.builder().nodeModule(new NodeModule(settings)).build().process();
      Runtime.getRuntime().addShutdownHook(new Thread(process::shutdown, "shutdown"));
      process.start();
    } catch (RuntimeException e) {
      System.err.println("node cannot start: " + e.getMessage());
      System.exit(EXIT_FAILED);
    }
  }
}
