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
import org.teaseltrestle.model.operators.ChangeAnswer;
import org.teaseltrestle.model.operators.Confirmation;
import org.teaseltrestle.model.operators.KeyAnswer;
import org.teaseltrestle.model.operators.KeyRequest;
import org.teaseltrestle.model.operators.KeysAnswer;
import org.teaseltrestle.model.operators.ListsAnswer;
import org.teaseltrestle.model.operators.ListsChange;
import org.teaseltrestle.model.operators.ListsProposal;
import org.teaseltrestle.model.operators.PlanAnswer;
import org.teaseltrestle.model.operators.PlannedChange;
import org.teaseltrestle.model.operators.StatusAnswer;
import org.teaseltrestle.model.operators.UsageAnswer;
import org.teaseltrestle.wire.Command;
import org.teaseltrestle.wire.CommandAnswer;
import org.teaseltrestle.wire.IssueKey;
import org.teaseltrestle.wire.KeyRecord;
import org.teaseltrestle.wire.PlanChange;
import org.teaseltrestle.wire.ReplaceLists;
import org.teaseltrestle.wire.WithdrawKey;

/** Answers the operators' requests through the control gateway. Safe for use by any thread. */
public final class OperatorService {

  private static final long PROPOSE_TIMEOUT_MILLISECONDS = 8_000;
  private static final long CONFIRMATION_TIMEOUT_MILLISECONDS = 2_000;
  private static final long VIEW_POLL_NANOS = TimeUnit.MILLISECONDS.toNanos(1);
  private static final EventLog LOG = EventLog.of(OperatorService.class);

  private final InstanceId instance;
  private final ControlGateway gateway;
  private final ConfirmationTracker tracker;
  private final WallClock clock;
  private final Supplier<byte[]> keyRandom;

  /**
   * Creates the service.
   *
   * @param instance this instance
   * @param gateway access to the control state
   * @param tracker tells how far changes are in force
   * @param clock wall clock
   * @param keyRandom gives {@link KeyVerifier#RANDOM_BYTES} bytes of a secure random source
   */
  public OperatorService(
      InstanceId instance,
      ControlGateway gateway,
      ConfirmationTracker tracker,
      WallClock clock,
      Supplier<byte[]> keyRandom) {
    this.instance = instance;
    this.gateway = gateway;
    this.tracker = tracker;
    this.clock = clock;
    this.keyRandom = keyRandom;
  }

  /** Returns the lists in force. */
  public ListsAnswer lists() {
    ControlView view = confirmedView();
    return new ListsAnswer(
        view.listsRevision(), view.appliedIndex(), view.accountsJson(), view.plansJson());
  }

  /** Returns what proposed lists would change. */
  public PlanAnswer plan(ListsProposal proposal) {
    ControlView view = confirmedView();
    ParsedLists parsed =
        ListsParser.parse(
            "accounts.json", proposal.accountsJson(), "plans.json", proposal.plansJson());
    return new PlanAnswer(
        view.listsRevision(),
        parsed.problems(),
        parsed.lists().map(l -> ListsDifference.between(view.lists(), l)).orElse(List.of()));
  }

  /** Replaces the lists. */
  public ChangeAnswer replaceLists(ListsChange change) {
    return change(
        command(change.requestId())
            .setReplaceLists(
                ReplaceLists.newBuilder()
                    .setBaseRevision(change.baseRevision())
                    .setAccountsJson(change.accountsJson())
                    .setPlansJson(change.plansJson())
                    .setOperatorName(change.operatorName())));
  }

  /** Returns all keys. */
  public KeysAnswer keys() {
    return ViewRecords.keys(readyView());
  }

  /** Issues a key. */
  public KeyAnswer issueKey(KeyRequest request) {
    if (!request.keyId().isEmpty()) {
      return new KeyAnswer(issue(request.requestId(), recordOf(request)), "");
    }
    KeyVerifier.IssuedKey key =
        KeyVerifier.issue(new ClientAccount(request.account()), request.label(), keyRandom.get());
    ChangeAnswer answer = issue(request.requestId(), key.record());
    // A resend is answered with the first key, whose secret this node does not know.
    boolean own =
        answer.status() == ChangeAnswer.Status.ACCEPTED
            && answer.subject().equals(key.text().keyId());
    return new KeyAnswer(answer, own ? key.text().reveal() : "");
  }

  /** Withdraws a key; the answer names the instances that have not confirmed. */
  public ChangeAnswer withdrawKey(String requestId, String keyId) {
    return change(command(requestId).setWithdrawKey(WithdrawKey.newBuilder().setKeyId(keyId)));
  }

  /** Plans a change of a backend server. */
  public ChangeAnswer planChange(PlannedChange request) {
    return change(
        command(request.requestId())
            .setPlanChange(
                PlanChange.newBuilder()
                    .setBackendServer(request.backendServer())
                    .setKind(request.kind())));
  }

  /** Returns the usage windows that are still held. */
  public UsageAnswer usage() {
    return ViewRecords.usage(readyView());
  }

  /**
   * Returns the state as this node sees it.
   *
   * @param confirmedIndex log index whose confirmation is asked for, 0 for that of the view
   */
  public StatusAnswer status(long confirmedIndex) {
    ControlView view = gateway.view();
    long index = confirmedIndex == 0 ? view.appliedIndex() : confirmedIndex;
    return ViewRecords.status(instance, gateway.isReady(), view, confirmation(index));
  }

  /**
   * Returns a view that shows every change accepted before this call, so that an operator does not
   * work from a revision that has just been replaced. Without a leader the newest view of this
   * instance is returned: operators of a cut-off failure domain still see what is in force there.
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

  private ChangeAnswer issue(String requestId, KeyRecord key) {
    return change(command(requestId).setIssueKey(IssueKey.newBuilder().setKey(key)));
  }

  private static KeyRecord recordOf(KeyRequest request) {
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
          ErrorCode.MALFORMED_MESSAGE, "the salt or the hash is not hexadecimal", e);
    }
  }

  private Command.Builder command(String requestId) {
    return Command.newBuilder()
        .setRequestId(Identifiers.check(requestId))
        .setProposedAtMillis(clock.nowMillis());
  }

  private ChangeAnswer change(Command.Builder command) {
    CommandAnswer answer = await(gateway.propose(command.build()), PROPOSE_TIMEOUT_MILLISECONDS);
    LOG.info(
        OperatorEvent.CHANGE_ANSWERED,
        "change",
        command.getChangeCase(),
        "requestId",
        command.getRequestId(),
        "status",
        answer.getStatus(),
        "index",
        answer.getAppliedIndex());
    boolean accepted = answer.getStatus() == CommandAnswer.Status.ACCEPTED;
    return new ChangeAnswer(
        outcomeOf(answer.getStatus()),
        answer.getMessage(),
        answer.getSubject(),
        answer.getAppliedIndex(),
        answer.getListsRevision(),
        accepted ? confirmation(answer.getAppliedIndex()) : Confirmation.UNKNOWN);
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

  private static ChangeAnswer.Status outcomeOf(CommandAnswer.Status status) {
    return switch (status) {
      case ACCEPTED -> ChangeAnswer.Status.ACCEPTED;
      case CONFLICT -> ChangeAnswer.Status.CONFLICT;
      default -> ChangeAnswer.Status.REJECTED;
    };
  }

  private static <T> T await(CompletableFuture<T> future, long timeoutMilliseconds) {
    return Futures.await(future, timeoutMilliseconds, TimeUnit.MILLISECONDS);
  }
}
