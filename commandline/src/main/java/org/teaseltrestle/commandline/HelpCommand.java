package org.teaseltrestle.commandline;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.model.GlobalMetadata;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** Prints help on all commands or on one. */
@Command(name = "help", description = "Prints help on all commands or on one")
public final class HelpCommand implements CommandAction {

  @AirlineModule private @Nullable GlobalMetadata<CommandAction> global;

  @Arguments(title = "command", description = "command to describe")
  private List<String> command = new ArrayList<>();

  @Override
  public ExitCode run(Terminal terminal) {
    try {
      Help.help(global, command, terminal.output());
      return ExitCode.DONE;
    } catch (IOException e) {
      terminal.error().println("teaseltrestle: help cannot be printed: " + e.getMessage());
      return ExitCode.FAILED;
    }
  }
}
