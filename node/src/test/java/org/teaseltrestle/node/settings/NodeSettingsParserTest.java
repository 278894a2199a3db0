package org.teaseltrestle.node.settings;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.TrestleException;
import org.teaseltrestle.policy.PolicyConfiguration.Queueing;
import org.testng.annotations.Test;

/** Tests of the validation of settings files. */
public final class NodeSettingsParserTest {

  private static final String VALID =
      """
      {
        // Entry instance of the first failure domain.
        "instance": "entry-1", "failureDomain": "caerdydd", "region": "cymru",
        "callerAddress": "127.0.0.1:8080", "operatorAddress": "127.0.0.1:8081",
        "peerAddress": "127.0.0.1:8082", "dataFolder": "data/entry-1",
        "voters": [
          {"instance": "entry-1", "failureDomain": "caerdydd", "peerAddress": "127.0.0.1:8082"},
          {"instance": "entry-2", "failureDomain": "abertawe", "peerAddress": "127.0.0.1:8092"},
          {"instance": "entry-3", "failureDomain": "wrecsam", "peerAddress": "127.0.0.1:8102"}],
        "platformAddress": "http://127.0.0.1:9000", "operatorTokenFile": "operator-token"
      }
      """;

  private static String errorsOf(String text) {
    TrestleException error =
        expectThrows(TrestleException.class, () -> NodeSettingsParser.parse("node.json", text));
    assertEquals(error.code(), ErrorCode.INVALID_SETTINGS);
    return String.valueOf(error.getMessage());
  }

  /** Guards against valid settings that are rejected or misread. */
  public static final class ValidTest {

    @Test
    public void appliesDefaults() {
      NodeSettings settings = NodeSettingsParser.parse("node.json", VALID);
      assertTrue(settings.isVoter());
      assertEquals(settings.keyLeaseMilliseconds(), 300_000);
      assertEquals(settings.policy().queueing(), Queueing.FAIR);
    }
  }

  /** Guards against a node that starts with unknown or contradictory settings. */
  public static final class InvalidTest {

    @Test
    public void reportsAllErrorsTogether() {
      String errors =
          errorsOf(
              VALID
                  .replace("\"region\": \"cymru\"", "\"colour\": 1")
                  .replace("127.0.0.1:8080", "localhost:8080")
                  .replace("http://127.0.0.1:9000", "9000"));
      assertTrue(errors.contains("unknown field \"colour\""), errors);
      assertTrue(errors.contains("node.json:4:"), errors);
      assertTrue(errors.contains("expected an IP address"), errors);
      assertTrue(errors.contains("not an HTTP URL"), errors);
    }

    @Test
    public void rejectsFailureDomainWithMajorityOfVoters() {
      String errors = errorsOf(VALID.replace("abertawe", "wrecsam"));
      assertTrue(errors.contains("wrecsam holds a majority"), errors);
    }

    @Test
    public void rejectsVoterWithoutDataFolder() {
      String errors = errorsOf(VALID.replace("\"dataFolder\": \"data/entry-1\",", ""));
      assertTrue(errors.contains("needs a dataFolder"), errors);
    }
  }
}
