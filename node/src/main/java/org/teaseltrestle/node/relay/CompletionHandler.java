package org.teaseltrestle.node.relay;

import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.teaseltrestle.control.ControlView;
import org.teaseltrestle.model.RefusalCode;
import org.teaseltrestle.model.lists.ModelEntry;
import org.teaseltrestle.model.lists.Plan;
import org.teaseltrestle.policy.WorkRequest;

/** Serves completions, as a stream and as a whole. */
final class CompletionHandler {

  private final RelayContext context;
  private final BodyReader bodies;
  private final BackgroundCancels cancels;

  CompletionHandler(RelayContext context, BodyReader bodies, BackgroundCancels cancels) {
    this.context = context;
    this.bodies = bodies;
    this.cancels = cancels;
  }

  /**
   * Serves one completion.
   *
   * @throws RefusalException if it is refused
   * @throws CallerGoneException if the caller left
   */
  void handle(Exchange exchange, CompletionRequest.Endpoint endpoint) {
    long arrivedAtNanos = context.clock().nowNanos();
    ControlView view = context.control().view();
    Caller caller = context.gate().identify(exchange.credentials(), view);
    try (AccountThreads.Use use = context.accounts().enter(caller.account())) {
      CompletionRequest completion = read(exchange, endpoint);
      run(exchange, caller, completion, work(exchange, view, caller, completion, arrivedAtNanos));
    }
  }

  private CompletionRequest read(Exchange exchange, CompletionRequest.Endpoint endpoint) {
    byte[] body = bodies.read(exchange.http());
    if (exchange.credentials().isRepeatedIn(body)) {
      throw new RefusalException(
          RefusalCode.MALFORMED_REQUEST, "the key may stand in headers or query only");
    }
    return CompletionRequest.parse(endpoint, body);
  }

  private void run(
      Exchange exchange, Caller caller, CompletionRequest completion, WorkRequest work) {
    RequestMailbox mailbox =
        new RequestMailbox(exchange.request(), caller.keyId(), RequestMailbox.OnCallerLeft.CANCEL);
    try (RequestLife life = new RequestLife(context, caller, work, mailbox);
        WatchedSink sink =
            new WatchedSink(
                sink(exchange, completion),
                CallerWatch.start(exchange.http(), mailbox::callerLeft))) {
      new CompletionRun(context, caller, completion, exchange.request(), life, sink, cancels).run();
    }
  }

  private AnswerSink sink(Exchange exchange, CompletionRequest completion) {
    return completion.form() == CompletionRequest.AnswerForm.STREAM
        ? new StreamSink(exchange.response())
        : new WholeSink(exchange.response(), completion, exchange.request(), context.wallClock());
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
        WorkRequest.Repeatable.IDEMPOTENT,
        completion.prompt().tokens(),
        completion.expectedOutputTokens(),
        completion.prompt().prefixHashes(context.directory().pieceTokens(model.pool())),
        arrivedAtNanos + TimeUnit.MILLISECONDS.toNanos(plan.firstTokenMilliseconds()),
        ThreadLocalRandom.current().nextLong());
  }
}
