package org.teaseltrestle.testkit.capacity;

import com.google.protobuf.ByteString;
import java.util.Random;
import org.teaseltrestle.wire.BackendServerRecord;
import org.teaseltrestle.wire.ClaimSnapshot;
import org.teaseltrestle.wire.ControlSnapshot;
import org.teaseltrestle.wire.IdempotencyRecord;
import org.teaseltrestle.wire.InstanceRecord;
import org.teaseltrestle.wire.KeyRecord;
import org.teaseltrestle.wire.PastBoot;
import org.teaseltrestle.wire.UsageFigure;
import org.teaseltrestle.wire.UsageSource;
import org.teaseltrestle.wire.UsageWindow;

/** Builds control states of a given size. */
final class States {

  static final int MODELS = 18;
  static final int ACCOUNTS = 1_100;
  static final int KEYS = 2 * ACCOUNTS;
  static final int NODES = 420;
  static final int REPLICAS = 6_800;

  /** Past process starts, which are kept for seven days, at 1,400 a day. */
  static final int PAST_PROCESS_STARTS = 7 * 1_400;

  /** Two items per account in each of 18 windows: 16 reported ones and two open ones. */
  static final int FIGURES = 18 * 2 * ACCOUNTS;

  private static final int SALT_BYTES = 16;
  private static final int DIGEST_BYTES = 32;
  private static final Random RANDOM = new Random(1);

  private States() {}

  static String account(int number) {
    return "account-%04d".formatted(number);
  }

  static String instance(int number) {
    return "entry-a-%04d".formatted(number);
  }

  static String server(int number) {
    return "engine-%05d".formatted(number);
  }

  static String accountsJson(int accounts) {
    StringBuilder text = new StringBuilder("{\"accounts\": [\n");
    for (int i = 0; i < accounts; i++) {
      text.append(i == 0 ? "" : ",\n")
          .append("{\"account\": \"" + account(i) + "\", \"plan\": \"large\"}");
    }
    return text.append("]}\n").toString();
  }

  static String plansJson() {
    StringBuilder names = new StringBuilder();
    StringBuilder models = new StringBuilder();
    for (int i = 0; i < MODELS; i++) {
      names.append(i == 0 ? "" : ", ").append("\"model-" + i + "\"");
      models
          .append(i == 0 ? "" : ",\n")
          .append("{\"model\": \"model-" + i + "\", \"pool\": \"pool-" + i + "\",")
          .append(" \"minimumServers\": 2, \"maximumServers\": 400}");
    }
    return """
        {"plans": [{"plan": "large", "weight": 4, "priority": 0, "tokensPerSecond": 20000,
        "burstTokens": 60000, "requestsPerSecond": 50, "maximumRunning": 64,
        "firstTokenMilliseconds": 980, "betweenTokensMilliseconds": 41, "models": [%s],
        "services": [], "cheapCapacity": "allowed"}], "models": [%s], "services": []}
        """
        .formatted(names, models);
  }

  static ControlSnapshot.Builder lists(int accounts) {
    return ControlSnapshot.newBuilder()
        .setAppliedIndex(1)
        .setListsRevision(1)
        .setAccountsJson(accountsJson(accounts))
        .setPlansJson(plansJson());
  }

  static KeyRecord key(int number) {
    return KeyRecord.newBuilder()
        .setKeyId("%016x".formatted(number))
        .setAccount(account(number % 100))
        .setSalt(bytes(SALT_BYTES))
        .setSecretHash(bytes(DIGEST_BYTES))
        .setIssuedAtMillis(1_700_000_000_000L)
        .setLabel("label-" + number)
        .build();
  }

  static InstanceRecord node(int number) {
    return InstanceRecord.newBuilder()
        .setInstance(instance(number))
        .setFailureDomain("domain-" + number % 6)
        .setRegion("region-" + number % 3)
        .setPeerAddress("10.0.0.1:8082")
        .setBoot(RANDOM.nextLong())
        .build();
  }

  static BackendServerRecord replica(int number) {
    return BackendServerRecord.newBuilder()
        .setId(server(number))
        .setPool("pool-" + number % MODELS)
        .setFailureDomain("domain-" + number % 6)
        .setAddress("http://10.0.0.1:8000")
        .setKind("engine")
        .setCapacity("regular")
        .setChecksFencing(true)
        .addModels("model-" + number % MODELS)
        .setState("live")
        .setRole("mixed")
        .build();
  }

  static UsageFigure figure(int number) {
    return UsageFigure.newBuilder()
        .setAccount(account(number % ACCOUNTS))
        .setItem("model-" + number / ACCOUNTS % MODELS)
        .setPromptTokens(10_000)
        .setOutputTokens(20_000)
        .setRequests(100)
        .build();
  }

  static UsageWindow.Builder window(int number, int figures) {
    UsageWindow.Builder window = UsageWindow.newBuilder().setWindow(number);
    for (int i = 0; i < figures; i++) {
      window.addFigures(figure(i));
    }
    return window;
  }

  static ClaimSnapshot claim(int number, int bodyBytes) {
    IdempotencyRecord claim =
        IdempotencyRecord.newBuilder()
            .setAccount(account(number % ACCOUNTS))
            .setService("iard")
            .setIdempotencyKey("order-%08d".formatted(number))
            .setRequestDigest(bytes(DIGEST_BYTES))
            .setRunnerInstance(instance(1))
            .setRunnerBoot(1)
            .setClaimedAtMillis(1_700_000_000_000L)
            .setState(IdempotencyRecord.State.COMPLETED)
            .setHttpStatus(200)
            .setContentType("application/json")
            .setBody(bytes(bodyBytes))
            .build();
    return ClaimSnapshot.newBuilder().setClaim(claim).setRequestId("claim-" + number).build();
  }

  static PastBoot pastBoot(int number) {
    return PastBoot.newBuilder()
        .setInstance(instance(number % NODES))
        .setBoot(RANDOM.nextLong())
        .setEndedAtMillis(1_700_000_000_000L)
        .build();
  }

  static UsageSource source(int number) {
    return UsageSource.newBuilder()
        .setInstance(instance(number % NODES))
        .setBoot(RANDOM.nextLong())
        .setLastSequence(1_000_000)
        .setChangedAtMillis(1_700_000_000_000L)
        .build();
  }

  /** Returns a state with the given percentage of each target size, without claims. */
  static ControlSnapshot percentOfTarget(int percent) {
    ControlSnapshot.Builder state = lists(ACCOUNTS * percent / 100);
    for (int i = 0; i < KEYS * percent / 100; i++) {
      state.addKeys(key(i));
    }
    for (int i = 0; i < NODES * percent / 100; i++) {
      state.addInstances(node(i));
    }
    for (int i = 0; i < PAST_PROCESS_STARTS * percent / 100; i++) {
      state.addPastBoots(pastBoot(i)).addUsageSources(source(i));
    }
    for (int i = 0; i < REPLICAS * percent / 100; i++) {
      state.addBackendServers(replica(i));
    }
    int windows = 18;
    for (int i = 0; i < windows; i++) {
      state.addUsageWindows(window(i, FIGURES / windows * percent / 100));
    }
    return state.build();
  }

  private static ByteString bytes(int count) {
    byte[] bytes = new byte[count];
    RANDOM.nextBytes(bytes);
    return ByteString.copyFrom(bytes);
  }
}
