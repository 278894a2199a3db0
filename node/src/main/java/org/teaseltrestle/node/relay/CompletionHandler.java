package org.teaseltrestle.node.relay;

import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.teaseltrestle.control.ControlView;
import org.teaseltrestle.model.RefusalCode;
import org.teaseltrestle.model.lists.ModelEntry;
import org.teaseltrestle.model.lists.Plan;
import org.teaseltrestle.policy.WorkRequest;

/** Serves completions, streamed or buffered. */
final class CompletionHandler {

  private final RelayContext context;
  private final BodyReader bodies;
  private final BackgroundCancellations cancellations;

  CompletionHandler(
      RelayContext context, BodyReader bodies, BackgroundCancellations cancellations) {
    this.context = context;
    this.bodies = bodies;
    this.cancellations = cancellations;
  }

  /**
   * Serves one completion.
   *
   * @throws RefusalException if it is refused
   * @throws CallerDisconnectedException if the caller has disconnected
   */
  void handle(Exchange exchange, CompletionRequest.Endpoint endpoint) {
    long arrivedAtNanos = context.clock().nowNanos();
    ControlView view = context.control().view();
    Caller caller = context.authenticator().identify(exchange.credentials(), view);
    try (AccountThreadLimiter.Permit permit = context.accountThreads().acquire(caller.account())) {
      CompletionRequest completion = read(exchange, endpoint);
      run(exchange, caller, completion, work(exchange, view, caller, completion, arrivedAtNanos));
    }
  }

  private CompletionRequest read(Exchange exchange, CompletionRequest.Endpoint endpoint) {
    byte[] body = bodies.read(exchange.http(), exchange.response().memory());
    if (exchange.credentials().appearsIn(body)) {
      throw new RefusalException(
          RefusalCode.MALFORMED_REQUEST, "the key is allowed only in the headers or the query");
    }
    return CompletionRequest.parse(endpoint, body);
  }

  private void run(
      Exchange exchange, Caller caller, CompletionRequest completion, WorkRequest work) {
    RequestMailbox mailbox =
        new RequestMailbox(exchange.request(), caller.keyId(), RequestMailbox.OnDisconnect.CANCEL);
    try (RequestLifecycle lifecycle = new RequestLifecycle(context, caller, work, mailbox);
        DisconnectWatchingSink sink =
            new DisconnectWatchingSink(
                sink(exchange, completion),
                CallerDisconnectWatch.start(exchange.http(), mailbox::callerDisconnected))) {
      new CompletionRun(
              context, caller, completion, exchange.request(), lifecycle, sink, cancellations)
          .run();
    }
  }

  private CompletionSink sink(Exchange exchange, CompletionRequest completion) {
    return completion.form() == CompletionRequest.ResponseForm.STREAM
        ? new StreamingSink(exchange.response())
        : new BufferingSink(
            exchange.response(), completion, exchange.request(), context.wallClock());
  }

  private WorkRequest work(
      Exchange exchange,
      ControlView view,
      Caller caller,
      CompletionRequest completion,
      long arrivedAtNanos) {
    ModelEntry model = view.lists().models().get(completion.model());
    Plan plan = caller.plan();
    if (model == null) {
      throw new RefusalException(RefusalCode.UNKNOWN_MODEL, "no such model");
    }
    if (plan == null || !plan.models().contains(completion.model())) {
      throw new RefusalException(
          RefusalCode.NOT_IN_PLAN, "the account's plan does not include this model");
    }
    return new WorkRequest(
        exchange.request(),
        caller.account(),
        completion.model(),
        model.pool(),
        WorkRequest.WorkKind.MODEL_COMPLETION,
        WorkRequest.Repeatability.IDEMPOTENT,
        completion.prompt().tokens(),
        completion.expectedOutputTokens(),
        completion.prompt().prefixHashes(context.directory().pieceTokens(model.pool())),
        fingerprint(caller, completion),
        arrivedAtNanos + TimeUnit.MILLISECONDS.toNanos(plan.firstTokenMilliseconds()),
        ThreadLocalRandom.current().nextLong());
  }

  private static long fingerprint(Caller caller, CompletionRequest completion) {
    return RequestFingerprint.of(
        "POST",
        "",
        completion.endpoint().name(),
        caller.account(),
        completion.bodyResumingAfter(0));
  }
}
