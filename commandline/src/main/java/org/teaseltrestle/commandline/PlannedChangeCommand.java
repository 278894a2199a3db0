package org.teaseltrestle.commandline;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.NoOptionLikeValues;
import com.github.rvesse.airline.annotations.restrictions.Required;
import org.teaseltrestle.model.operators.ChangeAnswer;
import org.teaseltrestle.model.operators.PlannedChange;

/** Plans a change of a backend server; each kind of change is a command of its own. */
public abstract class PlannedChangeCommand extends NodeCommand {

  private final String kind;

  @Required
  @NoOptionLikeValues
  @Arguments(title = "backend server", description = "backend server id, as status shows it")
  private String backendServer = "";

  @Option(
      name = {"--request-id"},
      title = "id",
      description = "request id; by default a new one")
  private String requestId = "";

  /** Creates a command for one kind of change. */
  protected PlannedChangeCommand(String kind) {
    this.kind = kind;
  }

  @Override
  protected ExitCode execute(Terminal terminal, OperatorClient client) {
    String id = requestIdOr(requestId);
    ChangeAnswer answer =
        sendChange(
            client,
            "/operator/changes",
            new PlannedChange(id, backendServer, kind),
            ChangeAnswer.class,
            id);
    boolean accepted = answer.status() == ChangeAnswer.Status.ACCEPTED;
    print(
        terminal,
        answer,
        () -> {
          if (accepted) {
            terminal.output().println(kind + " of " + backendServer + " is accepted.");
          }
        });
    if (!accepted) {
      terminal.error().println("teaseltrestle: " + answer.message());
    }
    return ExitCode.of(answer.status());
  }

  /** Lets a backend server finish its work and gives it no new work. */
  @Command(name = "drain", description = "Gives a backend server no new work")
  public static final class Drain extends PlannedChangeCommand {
    /** Creates the command. */
    public Drain() {
      super("drain");
    }
  }

  /** Takes back a drain or a replacement. */
  @Command(name = "undrain", description = "Takes back a drain or a replacement")
  public static final class Undrain extends PlannedChangeCommand {
    /** Creates the command. */
    public Undrain() {
      super("undrain");
    }
  }

  /** Drains a backend server and orders another one for it. */
  @Command(name = "replace", description = "Drains a backend server and orders another one for it")
  public static final class Replace extends PlannedChangeCommand {
    /** Creates the command. */
    public Replace() {
      super("replace");
    }
  }
}
