package org.teaseltrestle.node.operators;

import com.google.protobuf.ByteString;
import java.util.HexFormat;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Supplier;
import org.teaseltrestle.control.ConfirmationTracker;
import org.teaseltrestle.control.ControlGateway;
import org.teaseltrestle.control.ControlView;
import org.teaseltrestle.control.KeyVerifier;
import org.teaseltrestle.kernel.EventLog;
import org.teaseltrestle.kernel.MonotonicClock;
import org.teaseltrestle.kernel.WallClock;
import org.teaseltrestle.model.ClientAccount;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.Identifiers;
import org.teaseltrestle.model.InstanceId;
import org.teaseltrestle.model.TrestleException;
import org.teaseltrestle.model.lists.ListsDifference;
import org.teaseltrestle.model.lists.ListsParser;
import org.teaseltrestle.model.lists.ParsedLists;
import org.teaseltrestle.model.operators.ChangeResponse;
import org.teaseltrestle.model.operators.Confirmation;
import org.teaseltrestle.model.operators.KeyIssueResponse;
import org.teaseltrestle.model.operators.KeyRequest;
import org.teaseltrestle.model.operators.KeysResponse;
import org.teaseltrestle.model.operators.ListsChange;
import org.teaseltrestle.model.operators.ListsProposal;
import org.teaseltrestle.model.operators.ListsResponse;
import org.teaseltrestle.model.operators.PlanResponse;
import org.teaseltrestle.model.operators.PlannedChange;
import org.teaseltrestle.model.operators.StatusResponse;
import org.teaseltrestle.model.operators.UsageResponse;
import org.teaseltrestle.wire.Command;
import org.teaseltrestle.wire.CommandAnswer;
import org.teaseltrestle.wire.IssueKey;
import org.teaseltrestle.wire.KeyRecord;
import org.teaseltrestle.wire.PlanChange;
import org.teaseltrestle.wire.ReplaceLists;
import org.teaseltrestle.wire.WithdrawKey;

/**
 * Handles requests of the operators' API through the control gateway. Safe for use by any thread.
 *
 * <p>Methods throw a {@link TrestleException} with {@link ErrorCode#UNREACHABLE} if the node is not
 * ready or the result of a change is not known in time, and with {@link
 * ErrorCode#MALFORMED_MESSAGE} or {@link ErrorCode#INVALID_IDENTIFIER} if the request is invalid.
 */
public final class OperatorService {

  private static final long PROPOSE_TIMEOUT_MILLISECONDS = 8_000;
  private static final long CONFIRMATION_TIMEOUT_MILLISECONDS = 2_000;
  private static final long VIEW_POLL_NANOS = TimeUnit.MILLISECONDS.toNanos(1);
  private static final EventLog LOG = EventLog.of(OperatorService.class);

  private final InstanceId instance;
  private final ControlGateway gateway;
  private final ConfirmationTracker tracker;
  private final WallClock clock;
  private final Supplier<byte[]> randomKeyBytes;

  /**
   * Creates the service.
   *
   * @param instance this instance
   * @param gateway access to the control state
   * @param tracker finds the instances that have not confirmed a change
   * @param clock wall clock
   * @param randomKeyBytes returns {@link KeyVerifier#RANDOM_BYTES} bytes of a secure random source
   */
  public OperatorService(
      InstanceId instance,
      ControlGateway gateway,
      ConfirmationTracker tracker,
      WallClock clock,
      Supplier<byte[]> randomKeyBytes) {
    this.instance = instance;
    this.gateway = gateway;
    this.tracker = tracker;
    this.clock = clock;
    this.randomKeyBytes = randomKeyBytes;
  }

  /** Returns the active lists. */
  public ListsResponse lists() {
    ControlView view = confirmedView();
    return new ListsResponse(
        view.listsRevision(), view.appliedIndex(), view.accountsJson(), view.plansJson());
  }

  /** Returns the changes that proposed lists would make to the active lists, or their errors. */
  public PlanResponse plan(ListsProposal proposal) {
    ControlView view = confirmedView();
    ParsedLists parsed =
        ListsParser.parse(
            "accounts.json", proposal.accountsJson(), "plans.json", proposal.plansJson());
    return new PlanResponse(
        view.listsRevision(),
        parsed.problems(),
        parsed
            .lists()
            .map(lists -> ListsDifference.between(view.lists(), lists))
            .orElse(List.of()));
  }

  /** Replaces the active lists if the change is based on their revision. */
  public ChangeResponse replaceLists(ListsChange change) {
    return propose(
        newCommand(change.requestId())
            .setReplaceLists(
                ReplaceLists.newBuilder()
                    .setBaseRevision(change.baseRevision())
                    .setAccountsJson(change.accountsJson())
                    .setPlansJson(change.plansJson())
                    .setOperatorName(change.operatorName())));
  }

  /** Returns all keys without their secrets. */
  public KeysResponse keys() {
    return OperatorResponses.keys(readyView());
  }

  /**
   * Issues a key. If the request contains no key id, this node generates the key and returns it
   * once.
   */
  public KeyIssueResponse issueKey(KeyRequest request) {
    if (!request.keyId().isEmpty()) {
      return new KeyIssueResponse(proposeKey(request.requestId(), keyRecord(request)), "");
    }
    KeyVerifier.IssuedKey key =
        KeyVerifier.issue(
            new ClientAccount(request.account()), request.label(), randomKeyBytes.get());
    ChangeResponse response = proposeKey(request.requestId(), key.record());
    // A retry returns the key of the first request, whose secret this node does not have.
    boolean issuedHere =
        response.status() == ChangeResponse.Status.ACCEPTED
            && response.subject().equals(key.apiKey().keyId());
    return new KeyIssueResponse(response, issuedHere ? key.apiKey().reveal() : "");
  }

  /** Withdraws a key; the response lists the instances that have not confirmed the withdrawal. */
  public ChangeResponse withdrawKey(String requestId, String keyId) {
    return propose(newCommand(requestId).setWithdrawKey(WithdrawKey.newBuilder().setKeyId(keyId)));
  }

  /** Plans a change of a backend server, or cancels one. */
  public ChangeResponse planChange(PlannedChange request) {
    return propose(
        newCommand(request.requestId())
            .setPlanChange(
                PlanChange.newBuilder()
                    .setBackendServer(request.backendServer())
                    .setKind(request.kind())));
  }

  /** Returns the usage windows that are retained. */
  public UsageResponse usage() {
    return OperatorResponses.usage(readyView());
  }

  /**
   * Returns the state that this node has applied; does not require a ready node.
   *
   * @param confirmedIndex log index whose confirmation is returned, 0 for the last applied one
   */
  public StatusResponse status(long confirmedIndex) {
    ControlView view = gateway.view();
    long index = confirmedIndex == 0 ? view.appliedIndex() : confirmedIndex;
    return OperatorResponses.status(instance, gateway.isReady(), view, confirmation(index));
  }

  /**
   * Returns a view that includes every change accepted before this call, so that an operator does
   * not start from a revision that has just been replaced. If no leader responds, it returns the
   * latest view of this instance, so that operators of a partitioned failure domain can still read
   * the state that is active there.
   */
  private ControlView confirmedView() {
    readyView();
    long deadlineNanos =
        MonotonicClock.SYSTEM.nowNanos()
            + TimeUnit.MILLISECONDS.toNanos(CONFIRMATION_TIMEOUT_MILLISECONDS);
    try {
      long index =
          gateway.confirmedIndex().get(CONFIRMATION_TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS);
      while (gateway.view().appliedIndex() < index
          && MonotonicClock.SYSTEM.nowNanos() - deadlineNanos < 0) {
        LockSupport.parkNanos(VIEW_POLL_NANOS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (ExecutionException | TimeoutException e) {
      LOG.warn(OperatorEvent.READ_NOT_CONFIRMED, "reason", e.getMessage());
    }
    return gateway.view();
  }

  private ControlView readyView() {
    if (!gateway.isReady()) {
      throw new TrestleException(
          ErrorCode.UNREACHABLE, "this node has not confirmed the committed state yet");
    }
    return gateway.view();
  }

  private ChangeResponse proposeKey(String requestId, KeyRecord key) {
    return propose(newCommand(requestId).setIssueKey(IssueKey.newBuilder().setKey(key)));
  }

  private static KeyRecord keyRecord(KeyRequest request) {
    try {
      return KeyRecord.newBuilder()
          .setKeyId(request.keyId())
          .setAccount(request.account())
          .setLabel(request.label())
          .setSalt(ByteString.copyFrom(HexFormat.of().parseHex(request.saltHex())))
          .setSecretHash(ByteString.copyFrom(HexFormat.of().parseHex(request.secretHashHex())))
          .build();
    } catch (IllegalArgumentException e) {
      throw new TrestleException(
          ErrorCode.MALFORMED_MESSAGE, "salt or secret hash is not hexadecimal", e);
    }
  }

  private Command.Builder newCommand(String requestId) {
    return Command.newBuilder()
        .setRequestId(Identifiers.check(requestId))
        .setProposedAtMillis(clock.nowMillis());
  }

  private ChangeResponse propose(Command.Builder command) {
    CommandAnswer result = await(gateway.propose(command.build()), PROPOSE_TIMEOUT_MILLISECONDS);
    LOG.info(
        OperatorEvent.CHANGE_ANSWERED,
        "change",
        command.getChangeCase(),
        "requestId",
        command.getRequestId(),
        "status",
        result.getStatus(),
        "index",
        result.getAppliedIndex());
    boolean accepted = result.getStatus() == CommandAnswer.Status.ACCEPTED;
    return new ChangeResponse(
        changeStatus(result.getStatus()),
        result.getMessage(),
        result.getSubject(),
        result.getAppliedIndex(),
        result.getListsRevision(),
        accepted ? confirmation(result.getAppliedIndex()) : Confirmation.UNKNOWN);
  }

  private Confirmation confirmation(long index) {
    try {
      return Confirmation.of(
          gateway.view().instances().size(),
          await(tracker.unconfirmed(index), CONFIRMATION_TIMEOUT_MILLISECONDS));
    } catch (TrestleException e) {
      return Confirmation.UNKNOWN;
    }
  }

  private static ChangeResponse.Status changeStatus(CommandAnswer.Status status) {
    return switch (status) {
      case ACCEPTED -> ChangeResponse.Status.ACCEPTED;
      case CONFLICT -> ChangeResponse.Status.CONFLICT;
      default -> ChangeResponse.Status.REJECTED;
    };
  }

  private static <T> T await(CompletableFuture<T> future, long timeoutMilliseconds) {
    return Futures.await(future, timeoutMilliseconds, TimeUnit.MILLISECONDS);
  }
}
