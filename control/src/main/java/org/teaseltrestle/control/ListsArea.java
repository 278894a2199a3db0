package org.teaseltrestle.control;

import java.util.stream.Collectors;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.TrestleException;
import org.teaseltrestle.model.json.ValidationProblem;
import org.teaseltrestle.model.lists.ListsParser;
import org.teaseltrestle.model.lists.ParsedLists;
import org.teaseltrestle.model.lists.ServingLists;
import org.teaseltrestle.wire.CommandAnswer;
import org.teaseltrestle.wire.ControlSnapshot;
import org.teaseltrestle.wire.ReplaceLists;

/** The two lists and their revision; changed by compare-and-set on the revision. */
final class ListsArea {

  private long revision;
  private String accountsJson = "";
  private String plansJson = "";
  private ServingLists lists = ServingLists.EMPTY;

  long revision() {
    return revision;
  }

  String accountsJson() {
    return accountsJson;
  }

  String plansJson() {
    return plansJson;
  }

  ServingLists lists() {
    return lists;
  }

  CommandAnswer.Builder replace(ReplaceLists change) {
    if (change.getBaseRevision() != revision) {
      return CommandAnswers.conflict(
          "lists",
          "the change replaces revision "
              + change.getBaseRevision()
              + ", but revision "
              + revision
              + " is in force");
    }
    ParsedLists parsed = parse(change.getAccountsJson(), change.getPlansJson());
    if (parsed.lists().isEmpty()) {
      return CommandAnswers.rejected("lists", describe(parsed));
    }
    lists = parsed.lists().get();
    accountsJson = change.getAccountsJson();
    plansJson = change.getPlansJson();
    revision++;
    return CommandAnswers.accepted("lists");
  }

  void save(ControlSnapshot.Builder snapshot) {
    snapshot.setListsRevision(revision).setAccountsJson(accountsJson).setPlansJson(plansJson);
  }

  void load(ControlSnapshot snapshot) {
    revision = snapshot.getListsRevision();
    accountsJson = snapshot.getAccountsJson();
    plansJson = snapshot.getPlansJson();
    if (revision > 0) {
      ParsedLists parsed = parse(accountsJson, plansJson);
      lists =
          parsed
              .lists()
              .orElseThrow(
                  () ->
                      new TrestleException(
                          ErrorCode.DATA_CORRUPTED,
                          "the snapshot holds invalid lists: " + describe(parsed)));
    }
  }

  private static ParsedLists parse(String accounts, String plans) {
    return ListsParser.parse("accounts.json", accounts, "plans.json", plans);
  }

  private static String describe(ParsedLists parsed) {
    return parsed.problems().stream()
        .map(ValidationProblem::toString)
        .collect(Collectors.joining("\n"));
  }
}
