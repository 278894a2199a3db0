package org.teaseltrestle.commandline;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.TrestleException;
import org.teaseltrestle.model.json.ValidationProblem;
import org.teaseltrestle.model.lists.ListsDifference;
import org.teaseltrestle.model.lists.ListsParser;
import org.teaseltrestle.model.lists.ParsedLists;

/**
 * Contents of the two list files.
 *
 * @param accountsFile name of the file with the client accounts
 * @param accountsJson text of the file with the client accounts
 * @param plansFile name of the file with the plans
 * @param plansJson text of the file with the plans
 */
record ListFiles(String accountsFile, String accountsJson, String plansFile, String plansJson) {

  private static final List<String> DEFAULT_FILES = List.of("accounts.json", "plans.json");

  /**
   * Reads the files.
   *
   * @param names names of both files; if empty, accounts.json and plans.json in the working
   *     directory
   * @throws TrestleException with {@link ErrorCode#INVALID_SETTINGS} if the number of names is
   *     wrong, or {@link ErrorCode#FILE_ACCESS} if a file cannot be read
   */
  static ListFiles read(List<String> names) {
    if (!names.isEmpty() && names.size() != 2) {
      throw new TrestleException(
          ErrorCode.INVALID_SETTINGS,
          "expected two files: the list of accounts and the list of plans");
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
   * @throws TrestleException with {@link ErrorCode#INVALID_LIST} listing all errors
   */
  void check() {
    List<ValidationProblem> problems = parse().problems();
    if (!problems.isEmpty()) {
      throw new TrestleException(ErrorCode.INVALID_LIST, describe(problems));
    }
  }

  static String describe(List<ValidationProblem> problems) {
    StringBuilder text = new StringBuilder("the lists have " + problems.size() + " errors");
    problems.forEach(problem -> text.append(System.lineSeparator()).append(problem));
    return text.toString();
  }

  /** Returns the request id for applying these files to a revision; the same for every retry. */
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
