package org.teaseltrestle.commandline;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.NoOptionLikeValues;
import com.github.rvesse.airline.annotations.restrictions.Required;
import org.teaseltrestle.model.operators.ChangeResponse;
import org.teaseltrestle.model.operators.PlannedChange;

/** Plans a change of a backend server; the subclasses are the commands for the kinds of change. */
public abstract class PlannedChangeCommand extends NodeCommand {

  private final String kind;

  @Required
  @NoOptionLikeValues
  @Arguments(title = "backend server", description = "backend server id, as shown by status")
  private String backendServer = "";

  @Option(
      name = {"--request-id"},
      title = "id",
      description = "request id; default is a new one")
  private String requestId = "";

  /** Creates a command for one kind of change. */
  protected PlannedChangeCommand(String kind) {
    this.kind = kind;
  }

  @Override
  protected ExitCode execute(Terminal terminal, OperatorClient client) {
    String id = requestIdOr(requestId);
    ChangeResponse response =
        sendChange(
            client,
            "/operator/changes",
            new PlannedChange(id, backendServer, kind),
            ChangeResponse.class,
            id);
    boolean accepted = response.status() == ChangeResponse.Status.ACCEPTED;
    print(
        terminal,
        response,
        () -> {
          if (accepted) {
            terminal.output().println(kind + " of " + backendServer + " is accepted.");
          }
        });
    if (!accepted) {
      terminal.error().println("teaseltrestle: " + response.message());
    }
    return ExitCode.of(response.status());
  }

  /** Drains a backend server: it finishes its work and gets no new work. */
  @Command(
      name = "drain",
      description = "Drains a backend server: it finishes its work and gets no new work")
  public static final class Drain extends PlannedChangeCommand {
    /** Creates the command. */
    public Drain() {
      super("drain");
    }
  }

  /** Cancels a drain or a replacement. */
  @Command(name = "undrain", description = "Cancels a drain or a replacement")
  public static final class Undrain extends PlannedChangeCommand {
    /** Creates the command. */
    public Undrain() {
      super("undrain");
    }
  }

  /** Drains a backend server and orders a replacement. */
  @Command(name = "replace", description = "Drains a backend server and orders a replacement")
  public static final class Replace extends PlannedChangeCommand {
    /** Creates the command. */
    public Replace() {
      super("replace");
    }
  }
}
