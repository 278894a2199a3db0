package org.teaseltrestle.commandline;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.TrestleException;
import org.teaseltrestle.model.json.ListProblem;
import org.teaseltrestle.model.lists.ListsDifference;
import org.teaseltrestle.model.lists.ListsParser;
import org.teaseltrestle.model.lists.ParsedLists;

/**
 * The two files of a command.
 *
 * @param accountsFile name of the list of accounts
 * @param accountsJson its text
 * @param plansFile name of the list of plans
 * @param plansJson its text
 */
record ListFiles(String accountsFile, String accountsJson, String plansFile, String plansJson) {

  private static final List<String> DEFAULT_FILES = List.of("accounts.json", "plans.json");

  /** Reads the files; without names, accounts.json and plans.json of the working folder. */
  static ListFiles read(List<String> names) {
    if (!names.isEmpty() && names.size() != 2) {
      throw new TrestleException(
          ErrorCode.INVALID_SETTINGS, "give two files: the list of accounts and that of plans");
    }
    List<String> files = names.isEmpty() ? DEFAULT_FILES : names;
    return new ListFiles(
        files.get(0),
        NodeCommand.readFile(files.get(0)),
        files.get(1),
        NodeCommand.readFile(files.get(1)));
  }

  ParsedLists parse() {
    return ListsParser.parse(accountsFile, accountsJson, plansFile, plansJson);
  }

  /**
   * Checks the lists.
   *
   * @throws TrestleException with {@link ErrorCode#INVALID_LIST} that names every fault
   */
  void check() {
    List<ListProblem> problems = parse().problems();
    if (!problems.isEmpty()) {
      throw new TrestleException(ErrorCode.INVALID_LIST, describe(problems));
    }
  }

  static String describe(List<ListProblem> problems) {
    StringBuilder text = new StringBuilder("the lists have " + problems.size() + " faults");
    problems.forEach(problem -> text.append(System.lineSeparator()).append(problem));
    return text.toString();
  }

  /** Returns the request id of applying these files to a revision; equal for every resend. */
  String requestId(long baseRevision) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      for (String part : List.of(Long.toString(baseRevision), accountsJson, plansJson)) {
        byte[] bytes = part.getBytes(StandardCharsets.UTF_8);
        digest.update((bytes.length + ":").getBytes(StandardCharsets.UTF_8));
        digest.update(bytes);
      }
      return "apply-" + HexFormat.of().formatHex(digest.digest(), 0, 16);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }

  static void printChanges(PrintStream output, List<ListsDifference.Change> changes) {
    Table table = new Table("CHANGE", "KIND", "NAME", "DETAILS");
    for (ListsDifference.Change change : changes) {
      List<String> details = change.details().isEmpty() ? List.of("") : change.details();
      table.row(change.action(), change.kind(), change.name(), details.get(0));
      details.stream().skip(1).forEach(detail -> table.row(" ", " ", " ", detail));
    }
    table.print(output);
  }
}
