package org.teaseltrestle.model.lists;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import org.teaseltrestle.model.ClientAccount;
import org.teaseltrestle.model.ItemName;
import org.teaseltrestle.model.PoolId;
import org.teaseltrestle.model.json.ValidationProblem;
import org.testng.annotations.Test;

/** Tests of {@link ListsParser}. */
public class ListsParserTest {

  private static final String ACCOUNTS =
      "{\"accounts\": [ // one line for each account\n"
          + "  {\"account\": \"yard-north\", \"plan\": \"large\"}\n]}";

  private static final String PLANS =
      """
      {
        /* What each plan may use. */
        "plans": [{
          "plan": "large", "weight": 4, "priority": 0, "tokensPerSecond": 20000,
          "burstTokens": 60000, "requestsPerSecond": 0.5, "maximumRunning": 64,
          "firstTokenMilliseconds": 980, "betweenTokensMilliseconds": 41,
          "models": ["pren-7b"], "services": ["iard"], "cheapCapacity": "allowed"
        }],
        "models": [{"model": "pren-7b", "pool": "pren-models",
                    "minimumServers": 2, "maximumServers": 12}],
        "services": [{"service": "iard", "pool": "iard-app",
                      "openRoutes": ["GET /opening-hours"],
                      "idempotentRoutes": ["GET *", "PUT *", "POST /quotes"]}]
      }
      """;

  private static List<String> problemsOf(String accounts, String plans) {
    ParsedLists parsed = ListsParser.parse("accounts.json", accounts, "plans.json", plans);
    assertEquals(parsed.lists().isEmpty(), !parsed.problems().isEmpty());
    return parsed.problems().stream().map(ValidationProblem::toString).toList();
  }

  /** Lists that must be accepted. */
  public static class Accepted {

    /** Guards against comments that break parsing and against lost field values. */
    @Test
    public void readsEveryField() {
      ServingLists lists =
          ListsParser.parse("accounts.json", ACCOUNTS, "plans.json", PLANS).lists().orElseThrow();
      Plan plan = lists.planOf(new ClientAccount("yard-north")).orElseThrow();
      assertEquals(plan.requestsPerSecond(), 0.5);
      assertEquals(plan.firstTokenMilliseconds(), 980);
      assertEquals(plan.cheapCapacity(), Plan.CheapCapacity.ALLOWED);
      assertEquals(
          lists.models(),
          Map.of(
              new ItemName("pren-7b"),
              new ModelEntry(new ItemName("pren-7b"), new PoolId("pren-models"), 2, 12)));
      ServiceEntry service = lists.services().values().iterator().next();
      assertTrue(service.isIdempotent("POST", "/quotes"));
      assertTrue(service.isOpen("GET", "/opening-hours"));
    }
  }

  /** Lists that must be rejected, with the location of every error. */
  public static class Rejected {

    /** Guards against a parser that stops at the first error or reports a wrong location. */
    @Test
    public void reportsAllErrorsWithLocations() {
      String accounts =
          "{\"accounts\": [\n  {\"account\": \"a\", \"plan\": \"none\", \"tier\": 1},\n"
              + "  {\"account\": \"a b\", \"plan\": \"large\"},\n"
              + "  {\"account\": \"a\", \"plan\": \"large\"}]}";
      String plans = PLANS.replace("\"weight\": 4", "\"weight\": 0").replace("\"iard\"],", "3],");
      assertEquals(
          problemsOf(accounts, plans),
          List.of(
              "accounts.json:2:28 /accounts/0/plan: no plan is named none",
              "accounts.json:2:36 /accounts/0/tier: unknown field \"tier\"",
              "accounts.json:3:15 /accounts/1/account: not a valid identifier: a b",
              "accounts.json:4:15 /accounts/2/account: duplicate account a",
              "plans.json:4:32 /plans/0/weight: expected a number from 1 to 1000, found 0",
              "plans.json:7:41 /plans/0/services/0: expected a string, found a number"));
    }

    /** Guards against missing, duplicate and dangling entries passing the checks. */
    @Test
    public void reportsMissingDuplicateAndDangling() {
      String plans =
          "{\"plans\": [{\"plan\": \"p\", \"plan\": \"q\", \"models\": [\"m\", \"x\", \"m\"]}],"
              + "\"models\": [{\"model\": \"m\", \"pool\": \"s\", \"minimumServers\": 3,"
              + " \"maximumServers\": 2}],"
              + "\"services\": [{\"service\": \"m\", \"pool\": \"s\", \"openRoutes\": [\"GET\"]}]}";
      String all = String.join("\n", problemsOf("{\"accounts\": []}", plans));
      for (String expected :
          List.of(
              "duplicate field \"plan\"",
              "missing field \"weight\"",
              "missing field \"betweenTokensMilliseconds\"",
              "/plans/0/models/1: no model is named x",
              "/plans/0/models/2: duplicate entry m",
              "/models/0/maximumServers: maximumServers is below minimumServers",
              "/services/0/service: name is already used by a model: m",
              "/services/0/pool: pool already serves a model: s",
              "/services/0/openRoutes/0: not a route")) {
        assertTrue(all.contains(expected), expected + " in\n" + all);
      }
    }

    /** Guards against a syntax error that hides the errors of the other file, or throws. */
    @Test
    public void reportsSyntaxErrorsOfBothFiles() {
      List<String> problems = problemsOf("{\"accounts\": [}", "{} {}");
      assertTrue(problems.get(0).startsWith("accounts.json:1:15 : not valid JSON"), problems + "");
      assertTrue(problems.toString().contains("unexpected content"), problems + "");
      assertTrue(problems.toString().contains("missing field \"plans\""), problems + "");
    }

    /** Guards against numbers that a conversion to int or double would silently change. */
    @Test
    public void rejectsFractionsAndHugeNumbers() {
      String plans =
          PLANS.replace("\"weight\": 4", "\"weight\": 1.5").replace("20000", "1e400000000");
      String all = problemsOf(ACCOUNTS, plans).toString();
      assertTrue(all.contains("expected a whole number, found 1.5"), all);
      assertTrue(all.contains("expected a number from 0.001 to 1000000000, found 1E+4"), all);
    }
  }
}
