package org.teaseltrestle.control;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.TrestleException;
import org.teaseltrestle.wire.BackendServerRecord;
import org.teaseltrestle.wire.Command;
import org.teaseltrestle.wire.CommandAnswer;
import org.teaseltrestle.wire.ControlSnapshot;
import org.teaseltrestle.wire.InstanceRecord;
import org.teaseltrestle.wire.ObserveFleet;

/**
 * The replicated control state: applies committed commands in log order. Equal commands produce
 * equal states on every node, because it reads no clock and no random source. Each area class holds
 * one part of the state. Not thread-safe; only its views may be shared with other threads.
 */
public final class ControlState {

  // State time follows the wall clock of the authority in steps of at most this length, so that
  // one command with a wrong clock does not expire records that must be retained.
  private static final long MAXIMUM_TIME_STEP_MILLIS = TimeUnit.MINUTES.toMillis(10);
  private static final long PRUNE_INTERVAL_MILLIS = TimeUnit.HOURS.toMillis(1);

  private final RequestDeduplicator requests = new RequestDeduplicator();
  private final ListsArea lists = new ListsArea();
  private final KeysArea keys = new KeysArea();
  private final InstancesArea instances = new InstancesArea();
  private final AuthorityArea authority = new AuthorityArea();
  private final FleetArea fleet = new FleetArea();
  private final EngineOrdersArea engineOrders = new EngineOrdersArea(fleet, instances);
  private final PlatformOrdersArea platformOrders = new PlatformOrdersArea();
  private final UsageArea usage = new UsageArea();
  private final ClaimsArea claims = new ClaimsArea();
  private final ServingArea serving = new ServingArea();
  private final SuspectPartsArea suspectParts = new SuspectPartsArea();
  private final ServerLimitsArea serverLimits = new ServerLimitsArea(fleet);
  private long appliedIndex;
  private long stateTimeMillis;

  /** Creates the state before the first command. */
  public ControlState() {}

  /**
   * Returns the state that is encoded in a snapshot.
   *
   * @throws TrestleException with {@link ErrorCode#DATA_CORRUPTED} if it cannot be decoded
   */
  public static ControlState restore(byte[] snapshot) {
    ControlState state = new ControlState();
    try {
      state.load(ControlSnapshot.parseFrom(snapshot));
    } catch (InvalidProtocolBufferException e) {
      throw new TrestleException(
          ErrorCode.DATA_CORRUPTED, "the control snapshot cannot be decoded", e);
    }
    return state;
  }

  /**
   * Applies one committed command and returns its answer. A duplicate command changes nothing.
   *
   * @param index log index of the command
   * @throws TrestleException with {@link ErrorCode#INTERNAL} unless the index increases
   */
  public CommandAnswer apply(long index, Command command) {
    skipEntry(index);
    if (RequestDeduplicator.covers(command)) {
      Optional<CommandAnswer> first = requests.firstAnswer(command);
      if (first.isPresent()) {
        return first.get();
      }
    }
    final long oldTerm = authority.authority().getTerm();
    final long oldClosed = usage.closedThrough();
    CommandContext context =
        new CommandContext(
            index, command.getRequestId(), command.getProposedAtMillis(), stateTimeMillis);
    CommandAnswer answer =
        execute(command, context).setAppliedIndex(index).setListsRevision(lists.revision()).build();
    if (RequestDeduplicator.covers(command)) {
      requests.retain(command, answer);
    }
    if (authority.authority().getTerm() != oldTerm || usage.closedThrough() != oldClosed) {
      advanceTime(command.getProposedAtMillis());
    }
    return answer;
  }

  /**
   * Skips a log entry that is not a command.
   *
   * @throws TrestleException with {@link ErrorCode#INTERNAL} unless the index increases
   */
  public void skipEntry(long index) {
    if (index <= appliedIndex) {
      throw new TrestleException(
          ErrorCode.INTERNAL, "log index " + index + " applied after " + appliedIndex);
    }
    appliedIndex = index;
  }

  /** Returns the serving configuration with the highest version. */
  public ServingDocument servingDocument() {
    return serving.document();
  }

  /** Returns an immutable view of the current state, in constant time. */
  public ControlView view() {
    return new StateView(
        appliedIndex,
        lists.revision(),
        lists.lists(),
        lists.accountsJson(),
        lists.plansJson(),
        keys.keys(),
        instances.instances(),
        instances.voters(),
        fleet.servers(),
        fleet.changes(),
        engineOrders.openByEngine(),
        engineOrders.owners(),
        platformOrders.open(),
        authority.authority(),
        usage.windows(),
        claims.claims(),
        serving.document(),
        suspectParts.suspects(),
        serverLimits.limits(),
        fleet.leftVersions());
  }

  /** Returns the encoded state; equal states have equal bytes. */
  public byte[] snapshot() {
    ControlSnapshot.Builder snapshot =
        ControlSnapshot.newBuilder()
            .setAppliedIndex(appliedIndex)
            .setStateTimeMillis(stateTimeMillis);
    requests.save(snapshot);
    lists.save(snapshot);
    keys.save(snapshot);
    instances.save(snapshot);
    authority.save(snapshot);
    fleet.save(snapshot);
    engineOrders.save(snapshot);
    platformOrders.save(snapshot);
    usage.save(snapshot);
    claims.save(snapshot);
    serving.save(snapshot);
    suspectParts.save(snapshot);
    serverLimits.save(snapshot);
    return snapshot.build().toByteArray();
  }

  private void load(ControlSnapshot snapshot) {
    appliedIndex = snapshot.getAppliedIndex();
    stateTimeMillis = snapshot.getStateTimeMillis();
    requests.load(snapshot);
    lists.load(snapshot);
    keys.load(snapshot);
    instances.load(snapshot);
    authority.load(snapshot);
    fleet.load(snapshot);
    engineOrders.load(snapshot);
    platformOrders.load(snapshot);
    usage.load(snapshot);
    claims.load(snapshot);
    serving.load(snapshot);
    suspectParts.load(snapshot);
    serverLimits.load(snapshot);
  }

  private CommandAnswer.Builder execute(Command command, CommandContext context) {
    return switch (command.getChangeCase()) {
      case REPLACE_LISTS -> lists.replace(command.getReplaceLists());
      case ISSUE_KEY -> keys.issue(command.getIssueKey().getKey(), lists.lists(), context);
      case WITHDRAW_KEY -> keys.withdraw(command.getWithdrawKey().getKeyId(), context);
      case REGISTER_INSTANCE -> register(command.getRegisterInstance().getInstance(), context);
      case RETIRE_INSTANCE -> retire(command.getRetireInstance().getInstance(), context);
      case CLAIM_AUTHORITY -> authority.claim(command.getClaimAuthority());
      case PLACE_ENGINE_ORDER -> engineOrders.place(command.getPlaceEngineOrder(), authority);
      case SETTLE_ENGINE_ORDER -> engineOrders.settle(command.getSettleEngineOrder(), authority);
      case TRANSFER_ENGINE_OWNERSHIP ->
          engineOrders.transfer(command.getTransferEngineOwnership(), authority);
      case PLACE_PLATFORM_ORDER -> platformOrders.place(command.getPlacePlatformOrder(), authority);
      case SETTLE_PLATFORM_ORDER ->
          platformOrders.settle(command.getSettlePlatformOrder(), authority);
      case OBSERVE_FLEET -> observe(command.getObserveFleet(), context);
      case PLAN_CHANGE -> fleet.plan(command.getPlanChange());
      case USAGE_BATCH -> usage.count(command.getUsageBatch(), context);
      case CLOSE_USAGE_WINDOW -> usage.close(command.getCloseUsageWindow(), authority);
      case USAGE_REPORTED -> usage.recordReported(command.getUsageReported(), authority);
      case CLAIM_IDEMPOTENCY ->
          claims.claim(command.getClaimIdempotency().getClaim(), instances, context);
      case RECORD_OUTCOME -> claims.record(command.getRecordOutcome(), context);
      case PUBLISH_CONFIGURATION ->
          serving.publish(command.getPublishConfiguration(), context.index());
      case REPORT_PROMPT_PARTS -> suspectParts.report(command.getReportPromptParts(), context);
      case RECORD_VOTERS -> instances.recordVoters(command.getRecordVoters().getInstancesList());
      case REPORT_SERVER_LIMIT -> serverLimits.report(command.getReportServerLimit(), context);
      case CHANGE_NOT_SET -> CommandAnswers.rejected("", "the command holds no known change");
    };
  }

  private CommandAnswer.Builder register(InstanceRecord record, CommandContext context) {
    Optional<ProcessStart> old = instances.current(record.getInstance());
    CommandAnswer.Builder answer = instances.register(record, context);
    old.filter(process -> !instances.isCurrent(process)).ifPresent(claims::markRunnerEnded);
    return answer;
  }

  private CommandAnswer.Builder retire(String instance, CommandContext context) {
    Optional<ProcessStart> old = instances.current(instance);
    CommandAnswer.Builder answer = instances.retire(instance, context);
    old.ifPresent(claims::markRunnerEnded);
    return answer;
  }

  private CommandAnswer.Builder observe(ObserveFleet observed, CommandContext context) {
    CommandAnswer.Builder answer = fleet.observe(observed, authority, context.proposedAtMillis());
    if (answer.getStatus() == CommandAnswer.Status.ACCEPTED) {
      observed.getGoneList().forEach(engineOrders::removeOwnerOfRemovedEngine);
      observed.getGoneList().forEach(serverLimits::remove);
      observed.getSeenList().stream()
          .map(BackendServerRecord::getId)
          .forEach(engineOrders::removeOwnerOfRemovedEngine);
    }
    return answer;
  }

  // A duplicate command must change nothing, so only commands that claim the authority or close a
  // window advance the time.
  private void advanceTime(long proposedAtMillis) {
    long maximum =
        stateTimeMillis == 0 ? Long.MAX_VALUE : stateTimeMillis + MAXIMUM_TIME_STEP_MILLIS;
    long oldTime = stateTimeMillis;
    stateTimeMillis = Math.max(oldTime, Math.min(proposedAtMillis, maximum));
    if (stateTimeMillis / PRUNE_INTERVAL_MILLIS != oldTime / PRUNE_INTERVAL_MILLIS) {
      prune();
    }
  }

  private void prune() {
    keys.prune(stateTimeMillis);
    instances.prune(stateTimeMillis);
    usage.prune(stateTimeMillis, instances);
    claims.prune(stateTimeMillis);
  }
}
