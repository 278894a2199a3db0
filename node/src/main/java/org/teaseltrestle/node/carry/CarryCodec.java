package org.teaseltrestle.node.carry;

import com.google.protobuf.ByteString;
import java.util.Arrays;
import java.util.List;
import org.teaseltrestle.model.RequestId;
import org.teaseltrestle.node.port.AttemptFailure;
import org.teaseltrestle.node.port.AttemptHandle;
import org.teaseltrestle.node.port.HeaderField;
import org.teaseltrestle.node.port.HttpSyntax;
import org.teaseltrestle.node.port.ResponseFraming;
import org.teaseltrestle.node.port.RoutedCall;
import org.teaseltrestle.node.port.ServiceResponse;
import org.teaseltrestle.policy.FailureKind;
import org.teaseltrestle.wire.CarriedCallRequest;
import org.teaseltrestle.wire.CarriedFailure;
import org.teaseltrestle.wire.CarriedHeader;
import org.teaseltrestle.wire.CarriedResponseHead;

/** Converts calls and responses to messages between nodes and back. */
final class CarryCodec {

  /** Longest part of a body in one message. */
  static final int PART_BYTES = 64 * 1024;

  private CarryCodec() {}

  static CarriedCallRequest reservation(long number, RoutedCall call, long leftMillis) {
    return CarriedCallRequest.newBuilder()
        .setCall(number)
        .setRequest(call.request().value())
        .setAddress(call.address())
        .setMethod(call.method())
        .setTarget(call.target())
        .addAllHeaders(headerMessages(call.headers()))
        .setBodyBytes(call.body().length)
        .setBody(ByteString.copyFrom(call.body(), 0, Math.min(PART_BYTES, call.body().length)))
        .setLeftMillis(leftMillis)
        .build();
  }

  static RoutedCall call(
      CarriedCallRequest message, byte[] body, AttemptHandle handle, long deadlineNanos) {
    return new RoutedCall(
        new RequestId(message.getRequest()),
        message.getAddress(),
        message.getMethod(),
        message.getTarget(),
        headers(message.getHeadersList()),
        body,
        handle,
        deadlineNanos);
  }

  static CarriedResponseHead head(ServiceResponse response) {
    return CarriedResponseHead.newBuilder()
        .setStatus(response.status())
        .addAllHeaders(headerMessages(response.headers()))
        .setFraming(response.framing().name())
        .build();
  }

  /** Returns whether a head is sound; instances of earlier versions also pass on others. */
  static boolean isSound(CarriedResponseHead head) {
    return HttpSyntax.isFinalStatus(head.getStatus())
        && head.getHeadersList().stream().allMatch(each -> HttpSyntax.isFieldName(each.getName()));
  }

  /** Returns what marks the end of a body; the least that a response can promise if unknown. */
  static ResponseFraming framing(CarriedResponseHead head) {
    return Arrays.stream(ResponseFraming.values())
        .filter(each -> each.name().equals(head.getFraming()))
        .findFirst()
        .orElse(ResponseFraming.CONNECTION);
  }

  static CarriedFailure failureMessage(AttemptFailure failure) {
    return CarriedFailure.newBuilder()
        .setKind(failure.kind().name())
        .setMessage(String.valueOf(failure.getMessage()))
        .setHttpStatus(failure.httpStatus())
        .build();
  }

  /** Returns a failure; one of an unknown kind may have run. */
  static AttemptFailure failure(CarriedFailure failure) {
    FailureKind kind =
        Arrays.stream(FailureKind.values())
            .filter(each -> each.name().equals(failure.getKind()))
            .findFirst()
            .orElse(FailureKind.LOST_BEFORE_ANSWER);
    return new AttemptFailure(kind, failure.getMessage(), failure.getHttpStatus());
  }

  static List<HeaderField> headers(List<CarriedHeader> headers) {
    return headers.stream().map(each -> new HeaderField(each.getName(), each.getValue())).toList();
  }

  private static List<CarriedHeader> headerMessages(List<HeaderField> headers) {
    return headers.stream()
        .map(each -> CarriedHeader.newBuilder().setName(each.name()).setValue(each.value()).build())
        .toList();
  }
}
