package org.teaseltrestle.commandline;

import com.github.rvesse.airline.Cli;
import com.github.rvesse.airline.builder.CliBuilder;
import com.github.rvesse.airline.parser.errors.ParseException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;

/** Entry point of the operators' command line. */
public final class CommandLineMain {

  private CommandLineMain() {}

  /** Runs one command and exits with its code. */
  public static void main(String[] arguments) {
    PrintStream output = new PrintStream(System.out, true, StandardCharsets.UTF_8);
    PrintStream error = new PrintStream(System.err, true, StandardCharsets.UTF_8);
    ExitCode code = run(new Terminal(output, error, System.getenv()), arguments);
    output.flush();
    System.exit(code.number());
  }

  /** Runs one command and returns its exit code. */
  public static ExitCode run(Terminal terminal, String... arguments) {
    CommandAction command;
    try {
      command = commands().parse(arguments);
    } catch (ParseException e) {
      terminal.error().println("teaseltrestle: " + e.getMessage());
      terminal.error().println("See: teaseltrestle help");
      return ExitCode.INVALID;
    }
    return command.run(terminal);
  }

  private static Cli<CommandAction> commands() {
    CliBuilder<CommandAction> builder = Cli.builder("teaseltrestle");
    builder
        .withDescription("Changes lists and keys and shows the state of a teaseltrestle system")
        .withCommand(HelpCommand.class)
        .withCommand(ValidateCommand.class)
        .withCommand(PlanCommand.class)
        .withCommand(ApplyCommand.class)
        .withCommand(StatusCommand.class)
        .withCommand(UsageCommand.class);
    builder
        .withGroup("keys")
        .withDescription("Issues, withdraws and lists keys")
        .withCommand(KeysIssueCommand.class)
        .withCommand(KeysWithdrawCommand.class)
        .withCommand(KeysListCommand.class);
    builder
        .withGroup("changes")
        .withDescription("Plans changes of backend servers")
        .withCommand(PlannedChangeCommand.Drain.class)
        .withCommand(PlannedChangeCommand.Undrain.class)
        .withCommand(PlannedChangeCommand.Replace.class);
    return builder.build();
  }
}
