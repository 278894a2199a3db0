package org.teaseltrestle.control;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Random;
import org.teaseltrestle.wire.BackendServerRecord;
import org.teaseltrestle.wire.ClaimAuthority;
import org.teaseltrestle.wire.ClaimIdempotency;
import org.teaseltrestle.wire.CloseUsageWindow;
import org.teaseltrestle.wire.Command;
import org.teaseltrestle.wire.EngineOrder;
import org.teaseltrestle.wire.IdempotencyRecord;
import org.teaseltrestle.wire.InstanceRecord;
import org.teaseltrestle.wire.IssueKey;
import org.teaseltrestle.wire.KeyRecord;
import org.teaseltrestle.wire.LostPromptParts;
import org.teaseltrestle.wire.ObserveFleet;
import org.teaseltrestle.wire.PlaceEngineOrder;
import org.teaseltrestle.wire.PlacePlatformOrder;
import org.teaseltrestle.wire.PlanChange;
import org.teaseltrestle.wire.PlatformOrder;
import org.teaseltrestle.wire.PublishConfiguration;
import org.teaseltrestle.wire.RecordOutcome;
import org.teaseltrestle.wire.RecordVoters;
import org.teaseltrestle.wire.RegisterInstance;
import org.teaseltrestle.wire.ReplaceLists;
import org.teaseltrestle.wire.ReportPromptParts;
import org.teaseltrestle.wire.ReportServerLimit;
import org.teaseltrestle.wire.RetireInstance;
import org.teaseltrestle.wire.SettleEngineOrder;
import org.teaseltrestle.wire.SettlePlatformOrder;
import org.teaseltrestle.wire.TransferEngineOwnership;
import org.teaseltrestle.wire.UsageBatch;
import org.teaseltrestle.wire.UsageFigure;
import org.teaseltrestle.wire.UsageReported;
import org.teaseltrestle.wire.WithdrawKey;

/** Creates commands for the tests. */
final class Commands {

  static final String PLANS =
      """
      {"plans": [{"plan": "large", "weight": 1, "priority": 0, "tokensPerSecond": 10,
        "burstTokens": 10, "requestsPerSecond": 1, "maximumRunning": 1,
        "firstTokenMilliseconds": 980, "betweenTokensMilliseconds": 41}]}
      """;

  private Commands() {}

  static Command.Builder command(String requestId) {
    return Command.newBuilder().setRequestId(requestId).setProposedAtMillis(1_000);
  }

  static String accounts(String... names) {
    StringBuilder text = new StringBuilder("{\"accounts\": [");
    for (int i = 0; i < names.length; i++) {
      text.append(i == 0 ? "" : ",")
          .append("{\"account\": \"" + names[i] + "\", \"plan\": \"large\"}");
    }
    return text + "]}";
  }

  static Command lists(String requestId, long base, String accounts) {
    return command(requestId)
        .setReplaceLists(
            ReplaceLists.newBuilder()
                .setBaseRevision(base)
                .setAccountsJson(accounts)
                .setPlansJson(PLANS))
        .build();
  }

  static Command publish(String requestId, long version, String document) {
    return command(requestId)
        .setPublishConfiguration(
            PublishConfiguration.newBuilder()
                .setVersion(version)
                .setDocument(ByteString.copyFromUtf8(document)))
        .build();
  }

  static Command issue(String requestId, KeyRecord key) {
    return command(requestId).setIssueKey(IssueKey.newBuilder().setKey(key)).build();
  }

  static Command withdraw(String requestId, String keyId) {
    return command(requestId).setWithdrawKey(WithdrawKey.newBuilder().setKeyId(keyId)).build();
  }

  static Command register(String instance, long boot) {
    return command("register")
        .setRegisterInstance(
            RegisterInstance.newBuilder()
                .setInstance(InstanceRecord.newBuilder().setInstance(instance).setBoot(boot)))
        .build();
  }

  static Command recordVoters(String... instances) {
    return command("voters")
        .setRecordVoters(RecordVoters.newBuilder().addAllInstances(List.of(instances)))
        .build();
  }

  static Command retire(String instance) {
    return command("retire")
        .setRetireInstance(RetireInstance.newBuilder().setInstance(instance))
        .build();
  }

  static Command authority(long term) {
    return command("authority")
        .setClaimAuthority(ClaimAuthority.newBuilder().setTerm(term).setInstance("i" + term))
        .build();
  }

  static Command observe(String engine, boolean checksFencing) {
    return command("observe")
        .setObserveFleet(
            ObserveFleet.newBuilder()
                .addSeen(
                    BackendServerRecord.newBuilder()
                        .setId(engine)
                        .setKind("engine")
                        .setChecksFencing(checksFencing)))
        .build();
  }

  static Command observeVersion(String server, String version, long proposedAtMillis) {
    return command("observe")
        .setProposedAtMillis(proposedAtMillis)
        .setObserveFleet(
            ObserveFleet.newBuilder()
                .addSeen(
                    BackendServerRecord.newBuilder()
                        .setId(server)
                        .setPool("pool")
                        .setSoftwareVersion(version)))
        .build();
  }

  static Command removeServer(String engine) {
    return command("gone").setObserveFleet(ObserveFleet.newBuilder().addGone(engine)).build();
  }

  static Command order(long term, String id, String engine, String owner, long boot) {
    return command("order")
        .setPlaceEngineOrder(
            PlaceEngineOrder.newBuilder()
                .setAuthorityTerm(term)
                .setOrder(
                    EngineOrder.newBuilder()
                        .setOrderId(id)
                        .setBackendServer(engine)
                        .setKind("drain")
                        .setOwnerInstance(owner)
                        .setOwnerBoot(boot)))
        .build();
  }

  static Command settle(long term, String id) {
    return command("settle")
        .setSettleEngineOrder(
            SettleEngineOrder.newBuilder().setAuthorityTerm(term).setOrderId(id).setResult("done"))
        .build();
  }

  static Command transfer(
      String engine, String from, long fromBoot, String to, long toBoot, String reason) {
    return command("transfer")
        .setTransferEngineOwnership(
            TransferEngineOwnership.newBuilder()
                .setBackendServer(engine)
                .setFromInstance(from)
                .setFromBoot(fromBoot)
                .setToInstance(to)
                .setToBoot(toBoot)
                .setReason(reason))
        .build();
  }

  static Command buy(long term, String id, int count) {
    return command("buy")
        .setPlacePlatformOrder(
            PlacePlatformOrder.newBuilder()
                .setAuthorityTerm(term)
                .setOrder(
                    PlatformOrder.newBuilder()
                        .setOrderId(id)
                        .setPool("p")
                        .setFailureDomain("d")
                        .setCapacity("cheap")
                        .setCount(count)))
        .build();
  }

  static Command settlePurchase(long term, String id) {
    return command("settle")
        .setSettlePlatformOrder(
            SettlePlatformOrder.newBuilder().setAuthorityTerm(term).setOrderId(id))
        .build();
  }

  static Command usage(String instance, long boot, long first, long last, long window) {
    return command("usage")
        .setUsageBatch(
            UsageBatch.newBuilder()
                .setInstance(instance)
                .setBoot(boot)
                .setFirstSequence(first)
                .setLastSequence(last)
                .setWindow(window)
                .addFigures(
                    UsageFigure.newBuilder()
                        .setAccount("a")
                        .setItem("m")
                        .setPromptTokens(10)
                        .setRequests(last - first + 1)))
        .build();
  }

  static Command close(long term, long window, long atMillis) {
    return command("close")
        .setProposedAtMillis(atMillis)
        .setCloseUsageWindow(CloseUsageWindow.newBuilder().setAuthorityTerm(term).setWindow(window))
        .build();
  }

  static Command reported(long term, long window) {
    return command("reported")
        .setUsageReported(UsageReported.newBuilder().setAuthorityTerm(term).setWindow(window))
        .build();
  }

  static IdempotencyRecord.Builder call(String key, String digest, String runner, long boot) {
    return IdempotencyRecord.newBuilder()
        .setAccount("a")
        .setService("s")
        .setIdempotencyKey(key)
        .setRequestDigest(ByteString.copyFromUtf8(digest))
        .setRunnerInstance(runner)
        .setRunnerBoot(boot);
  }

  static Command claim(String requestId, IdempotencyRecord.Builder call) {
    return command(requestId)
        .setClaimIdempotency(ClaimIdempotency.newBuilder().setClaim(call))
        .build();
  }

  static Command outcome(
      String claimId, IdempotencyRecord.Builder call, IdempotencyRecord.State state) {
    return command("outcome")
        .setRecordOutcome(
            RecordOutcome.newBuilder()
                .setClaimRequestId(claimId)
                .setOutcome(call.clone().setState(state)))
        .build();
  }

  /** Returns a random command from a small space, so that commands conflict and repeat. */
  static Command random(Random random) {
    String instance = "i" + random.nextInt(3);
    String engine = "e" + random.nextInt(3);
    long boot = random.nextInt(4);
    long term = 1L + random.nextInt(4);
    String id = "o" + random.nextInt(40);
    long number = 1L + random.nextInt(12);
    return switch (random.nextInt(18)) {
      case 0 -> lists("l" + random.nextInt(50), random.nextInt(4), accounts("a", "b" + number));
      case 1 -> issue("k" + number, randomKey(random, "a"));
      case 2 -> withdraw("w" + random.nextInt(60), String.format("%016x", number));
      case 3 -> register(instance, boot);
      case 4 -> retire(instance);
      case 5 -> authority(term);
      case 6 -> observe(engine, random.nextBoolean());
      case 7 -> removeServer(engine);
      case 8, 9 -> order(term, id, engine, instance, boot);
      case 10 -> settle(term, id);
      case 11 -> transfer(engine, instance, boot, "i" + random.nextInt(3), boot, "owner_confirmed");
      case 12 -> random.nextBoolean() ? buy(term, id, 2) : settlePurchase(term, id);
      case 13 -> usage(instance, boot, number, number + random.nextInt(3), random.nextInt(9));
      case 14 -> close(term, random.nextInt(9), random.nextInt(100_000_000));
      case 15 -> reported(term, random.nextInt(9));
      case 16 -> claim("c" + random.nextInt(50), call("k" + number, "d" + boot, instance, boot));
      default ->
          random.nextBoolean()
              ? outcome(
                  "c" + random.nextInt(50),
                  call("k" + number, "d" + boot, instance, boot),
                  IdempotencyRecord.State.forNumber(1 + random.nextInt(4)))
              : command("p" + random.nextInt(99))
                  .setPlanChange(
                      PlanChange.newBuilder()
                          .setBackendServer(engine)
                          .setKind(random.nextBoolean() ? "drain" : "undrain"))
                  .build();
    };
  }

  /** Reports the parts of prompts that ran at a lost server. */
  static Command lostParts(long atMillis, String server, Long... parts) {
    return Command.newBuilder()
        .setProposedAtMillis(atMillis)
        .setReportPromptParts(
            ReportPromptParts.newBuilder()
                .addLost(
                    LostPromptParts.newBuilder()
                        .setBackendServer(server)
                        .addAllParts(List.of(parts))))
        .build();
  }

  /** Reports a request that was sent to a server and lost with it, by the reporter's clock. */
  static Command lostRequest(long sentAtMillis, long lostAtMillis, String server, long suspect) {
    return Command.newBuilder()
        .setProposedAtMillis(lostAtMillis)
        .setReportPromptParts(
            ReportPromptParts.newBuilder()
                .addLost(
                    LostPromptParts.newBuilder()
                        .setBackendServer(server)
                        .setSentAtMillis(sentAtMillis)
                        .setLostAtMillis(lostAtMillis)
                        .addParts(suspect)))
        .build();
  }

  /** Reports the parts of answered prompts. */
  static Command answeredParts(long atMillis, Long... parts) {
    return Command.newBuilder()
        .setProposedAtMillis(atMillis)
        .setReportPromptParts(ReportPromptParts.newBuilder().addAllAnsweredParts(List.of(parts)))
        .build();
  }

  /** Reports that a server names a limit. */
  static Command limit(String server, double requestsPerSecond, long replacedVersion) {
    return command("limit")
        .setReportServerLimit(
            ReportServerLimit.newBuilder()
                .setServer(server)
                .setRequestsPerSecond(requestsPerSecond)
                .setReplacedVersion(replacedVersion))
        .build();
  }

  /** Reports that a server names no limit any more. */
  static Command limitEnded(String server, long replacedVersion) {
    return command("limit-ended")
        .setReportServerLimit(
            ReportServerLimit.newBuilder()
                .setServer(server)
                .setEnded(true)
                .setReplacedVersion(replacedVersion))
        .build();
  }

  static KeyRecord randomKey(Random random, String account) {
    return KeyRecord.newBuilder()
        .setKeyId(String.format("%016x", 1 + random.nextInt(12)))
        .setAccount(account)
        .setSalt(ByteString.copyFrom(new byte[16]))
        .setSecretHash(ByteString.copyFrom(new byte[32]))
        .build();
  }
}
