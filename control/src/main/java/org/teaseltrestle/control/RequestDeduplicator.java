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
 * Detects duplicates of operators' changes by request id and retains their first answers. Commands
 * of the system itself are not recorded here: their duplicates are detected by identities of their
 * own (order id, sequence number, claim), and hundreds of usage batches per second would evict the
 * operators' answers within seconds.
 */
final class RequestDeduplicator {

  static final int CAPACITY = 1_024;

  private final BoundedHistory<AnsweredRequest> firstAnswers = new BoundedHistory<>(CAPACITY);

  static boolean covers(Command command) {
    return switch (command.getChangeCase()) {
      case REPLACE_LISTS, ISSUE_KEY, WITHDRAW_KEY, PLAN_CHANGE -> true;
      default -> false;
    };
  }

  /** Returns the first answer to a duplicate, or a rejection if the id was used differently. */
  Optional<CommandAnswer> firstAnswer(Command command) {
    return firstAnswers
        .get(command.getRequestId())
        .map(
            first ->
                first.getContentDigest().equals(digest(command))
                    ? first.getAnswer()
                    : CommandAnswers.rejected(
                            first.getAnswer().getSubject(),
                            "request id was already used for another change: "
                                + command.getRequestId())
                        .setAppliedIndex(first.getAnswer().getAppliedIndex())
                        .setListsRevision(first.getAnswer().getListsRevision())
                        .build());
  }

  void retain(Command command, CommandAnswer answer) {
    firstAnswers.add(
        command.getRequestId(),
        AnsweredRequest.newBuilder()
            .setRequestId(command.getRequestId())
            .setContentDigest(digest(command))
            .setAnswer(answer)
            .build());
  }

  void save(ControlSnapshot.Builder snapshot) {
    snapshot.addAllAnsweredRequests(firstAnswers.oldestFirst());
  }

  void load(ControlSnapshot snapshot) {
    snapshot
        .getAnsweredRequestsList()
        .forEach(request -> firstAnswers.add(request.getRequestId(), request));
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

  // A retry of IssueKey may contain a new secret, because the first one was never shown; it is the
  // same request.
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
