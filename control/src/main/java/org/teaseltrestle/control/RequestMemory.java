package org.teaseltrestle.control;

import com.google.protobuf.ByteString;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.List;
import java.util.Optional;
import org.teaseltrestle.wire.AnsweredRequest;
import org.teaseltrestle.wire.Command;
import org.teaseltrestle.wire.CommandAnswer;
import org.teaseltrestle.wire.ControlSnapshot;

/**
 * First answers to the operators' changes by request id. Commands of the system itself are not kept
 * here: each of them is recognised by its own identity (order id, sequence, claim), and hundreds of
 * usage batches a second would push the operators' answers out within seconds.
 */
final class RequestMemory {

  static final int CAPACITY = 1_024;

  private final BoundedHistory<AnsweredRequest> answered = new BoundedHistory<>(CAPACITY);

  static boolean remembers(Command command) {
    return switch (command.getChangeCase()) {
      case REPLACE_LISTS, ISSUE_KEY, WITHDRAW_KEY, PLAN_CHANGE -> true;
      default -> false;
    };
  }

  /** Returns the answer to a resend, or a refusal if the request id stands for another change. */
  Optional<CommandAnswer> answerTo(Command command) {
    return answered
        .get(command.getRequestId())
        .map(
            first ->
                first.getContentDigest().equals(digest(command))
                    ? first.getAnswer()
                    : Answers.rejected(
                            first.getAnswer().getSubject(),
                            "request id was already used for another change: "
                                + command.getRequestId())
                        .setAppliedIndex(first.getAnswer().getAppliedIndex())
                        .setListsRevision(first.getAnswer().getListsRevision())
                        .build());
  }

  void remember(Command command, CommandAnswer answer) {
    answered.add(
        command.getRequestId(),
        AnsweredRequest.newBuilder()
            .setRequestId(command.getRequestId())
            .setContentDigest(digest(command))
            .setAnswer(answer)
            .build());
  }

  void save(ControlSnapshot.Builder snapshot) {
    snapshot.addAllAnsweredRequests(answered.oldestFirst());
  }

  void load(ControlSnapshot snapshot) {
    snapshot.getAnsweredRequestsList().forEach(each -> answered.add(each.getRequestId(), each));
  }

  private static ByteString digest(Command command) {
    MessageDigest digest = sha256();
    digest.update((byte) command.getChangeCase().getNumber());
    for (String part : content(command)) {
      byte[] bytes = part.getBytes(StandardCharsets.UTF_8);
      digest.update(
          new byte[] {
            (byte) (bytes.length >>> 24),
            (byte) (bytes.length >>> 16),
            (byte) (bytes.length >>> 8),
            (byte) bytes.length
          });
      digest.update(bytes);
    }
    return ByteString.copyFrom(digest.digest());
  }

  // A resend of IssueKey may carry a new secret, because the first one was never shown; it is still
  // the same request.
  private static List<String> content(Command command) {
    return switch (command.getChangeCase()) {
      case REPLACE_LISTS ->
          List.of(
              Long.toString(command.getReplaceLists().getBaseRevision()),
              command.getReplaceLists().getAccountsJson(),
              command.getReplaceLists().getPlansJson());
      case ISSUE_KEY ->
          List.of(
              command.getIssueKey().getKey().getAccount(),
              command.getIssueKey().getKey().getLabel());
      case WITHDRAW_KEY -> List.of(command.getWithdrawKey().getKeyId());
      case PLAN_CHANGE ->
          List.of(command.getPlanChange().getBackendServer(), command.getPlanChange().getKind());
      default -> List.of();
    };
  }

  private static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }
}
