package org.teaseltrestle.testkit.checker;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.teaseltrestle.testkit.fakes.RecordEntry;
import org.teaseltrestle.testkit.replay.ReplayOutcome;
import org.teaseltrestle.testkit.replay.RequestResult;

/**
 * Checks that a key acts only for its own account, stays secret and stops working when withdrawn.
 */
final class AccountChecks {

  private final List<Violation> violations = new ArrayList<>();

  List<Violation> check(RunEvidence evidence) {
    checkAccountOfRuns(evidence);
    checkSecretsNotExposed(evidence);
    checkWithdrawals(evidence);
    return violations;
  }

  private void checkAccountOfRuns(RunEvidence evidence) {
    Map<String, String> accountByRequest = new HashMap<>();
    for (RequestResult result : evidence.results) {
      accountByRequest.put(result.requestId(), result.account());
    }
    for (RecordEntry entry : evidence.records.services()) {
      String account = accountByRequest.get(entry.text("requestId"));
      if (entry.kind().equals("ran") && account != null && !account.equals(entry.text("account"))) {
        addViolation(
            "request "
                + entry.text("requestId")
                + " of account "
                + account
                + " ran for account "
                + entry.text("account"));
      }
    }
  }

  private void checkSecretsNotExposed(RunEvidence evidence) {
    List<String> secrets = evidence.keys.stream().map(AccountChecks::secret).toList();
    Stream.of(evidence.records.engines(), evidence.records.services(), evidence.records.platform())
        .flatMap(List::stream)
        .forEach(
            entry ->
                searchForSecrets(entry.fake() + "'s record", entry.details().toString(), secrets));
    evidence.logs.forEach(
        (instance, log) -> searchForSecrets("the log of " + instance, log, secrets));
  }

  private void searchForSecrets(String place, String text, List<String> secrets) {
    for (String secret : secrets) {
      if (text.contains(secret)) {
        addViolation(place + " contains a caller's key");
      }
    }
  }

  private void checkWithdrawals(RunEvidence evidence) {
    for (RunEvidence.Withdrawal withdrawal : evidence.withdrawals) {
      long deadline = withdrawal.atMillis() + evidence.withdrawalGracePeriod.toMillis();
      for (RequestResult result : evidence.results) {
        if (result.account().equals(withdrawal.account())
            && result.startMillis() > deadline
            && result.outcome() == ReplayOutcome.COMPLETED) {
          addViolation("request " + result.index() + " was served with a withdrawn key");
        }
      }
    }
  }

  /**
   * Returns the secret part of a key. The ID before it is public and may appear in records and
   * logs.
   */
  private static String secret(String key) {
    return key.substring(key.lastIndexOf('_') + 1);
  }

  private void addViolation(String text) {
    violations.add(new Violation(Invariant.KEYS_BIND_ACCOUNTS, text));
  }
}
