package org.teaseltrestle.transport;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufInputStream;
import io.netty.buffer.ByteBufOutputStream;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.MessageToMessageCodec;
import java.io.IOException;
import java.util.List;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.TrestleException;
import org.teaseltrestle.wire.Envelope;

/** Converts between frames and protobuf envelopes. */
final class EnvelopeCodec extends MessageToMessageCodec<ByteBuf, Envelope> {

  @Override
  protected void encode(ChannelHandlerContext context, Envelope envelope, List<Object> out) {
    ByteBuf frame = context.alloc().buffer(envelope.getSerializedSize());
    try (ByteBufOutputStream output = new ByteBufOutputStream(frame)) {
      envelope.writeTo(output);
    } catch (IOException e) {
      frame.release();
      throw new TrestleException(ErrorCode.INTERNAL, "envelope could not be written", e);
    }
    out.add(frame);
  }

  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf frame, List<Object> out) {
    try (ByteBufInputStream input = new ByteBufInputStream(frame)) {
      out.add(Envelope.parseFrom(input));
    } catch (InvalidProtocolBufferException e) {
      throw new TrestleException(ErrorCode.MALFORMED_MESSAGE, "frame is not an envelope", e);
    } catch (IOException e) {
      throw new TrestleException(ErrorCode.MALFORMED_MESSAGE, "frame could not be read", e);
    }
  }
}
