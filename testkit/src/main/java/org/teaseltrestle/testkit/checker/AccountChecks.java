package org.teaseltrestle.testkit.checker;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.teaseltrestle.testkit.fakes.RecordEntry;
import org.teaseltrestle.testkit.replay.Outcome;
import org.teaseltrestle.testkit.replay.RequestResult;

/** Checks that keys bind accounts, stay secret and stop working. */
final class AccountChecks {

  private final List<Violation> violations = new ArrayList<>();

  List<Violation> check(RunEvidence evidence) {
    checkAccounts(evidence);
    checkSecrecy(evidence);
    checkWithdrawals(evidence);
    return violations;
  }

  private void checkAccounts(RunEvidence evidence) {
    Map<String, String> accountByRequest = new HashMap<>();
    for (RequestResult result : evidence.results) {
      accountByRequest.put(result.requestId(), result.account());
    }
    for (RecordEntry entry : evidence.records.services()) {
      String account = accountByRequest.get(entry.text("requestId"));
      if (entry.kind().equals("ran") && account != null && !account.equals(entry.text("account"))) {
        add(
            "request "
                + entry.text("requestId")
                + " of "
                + account
                + " ran for "
                + entry.text("account"));
      }
    }
  }

  private void checkSecrecy(RunEvidence evidence) {
    List<String> secrets = evidence.keys.stream().map(AccountChecks::secret).toList();
    Stream.of(evidence.records.engines(), evidence.records.services(), evidence.records.platform())
        .flatMap(List::stream)
        .forEach(entry -> search(entry.fake() + " received", entry.details().toString(), secrets));
    evidence.logs.forEach((instance, log) -> search("the log of " + instance, log, secrets));
  }

  private void search(String place, String text, List<String> secrets) {
    for (String secret : secrets) {
      if (text.contains(secret)) {
        add(place + " a caller's key");
      }
    }
  }

  private void checkWithdrawals(RunEvidence evidence) {
    for (RunEvidence.Withdrawal withdrawal : evidence.withdrawals) {
      long deadline = withdrawal.atMillis() + evidence.withdrawalBound.toMillis();
      for (RequestResult result : evidence.results) {
        if (result.account().equals(withdrawal.account())
            && result.startMillis() > deadline
            && result.outcome() == Outcome.COMPLETED) {
          add("request " + result.index() + " was served with the withdrawn key");
        }
      }
    }
  }

  /** The key id is no secret; only the part after it must not show up. */
  private static String secret(String key) {
    return key.substring(key.lastIndexOf('_') + 1);
  }

  private void add(String text) {
    violations.add(new Violation(Invariant.KEYS_BIND_ACCOUNTS, text));
  }
}
