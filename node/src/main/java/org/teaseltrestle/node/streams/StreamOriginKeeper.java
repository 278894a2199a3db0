package org.teaseltrestle.node.streams;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.teaseltrestle.kernel.MonotonicClock;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.PoolId;
import org.teaseltrestle.model.TrestleException;
import org.teaseltrestle.node.port.StreamOrigin;
import org.teaseltrestle.transport.PeerTransport;
import org.teaseltrestle.wire.Envelope;
import org.teaseltrestle.wire.StreamOriginAnswer;
import org.teaseltrestle.wire.StreamOriginQuestion;
import org.teaseltrestle.wire.StreamOriginRecord;
import org.teaseltrestle.wire.StreamOriginReport;

/**
 * Keeps the origins of streams on a control node, in memory, so that they outlive the entry node at
 * which the stream began. Control nodes keep them independently of each other.
 */
public final class StreamOriginKeeper {

  /** Name of the service for messages between nodes. */
  static final String SERVICE = "streams";

  static final int REPORT_KIND = 1;
  static final int QUESTION_KIND = 2;

  /** Time for which callers take up a stream after its origin was recorded. */
  static final long RETENTION_NANOS = TimeUnit.MINUTES.toNanos(5);

  private static final int MAXIMUM_STREAMS = 131_072;

  private final StreamOriginTable table = new StreamOriginTable(MAXIMUM_STREAMS, RETENTION_NANOS);
  private final PeerTransport transport;
  private final MonotonicClock clock;

  /** Creates a keeper that knows no streams. */
  public StreamOriginKeeper(PeerTransport transport, MonotonicClock clock) {
    this.transport = transport;
    this.clock = clock;
  }

  /** Begins to receive the messages of the entry nodes. */
  public void start() {
    transport.register(SERVICE, this::onMessage);
  }

  static StreamOriginRecord toWire(String stream, StreamOrigin origin) {
    return StreamOriginRecord.newBuilder()
        .setStream(stream)
        .setPool(origin.pool().value())
        .setSoftwareVersion(origin.softwareVersion())
        .build();
  }

  static StreamOrigin fromWire(StreamOriginRecord record) {
    return new StreamOrigin(new PoolId(record.getPool()), record.getSoftwareVersion());
  }

  private void onMessage(Envelope message, Consumer<byte[]> reply) {
    try {
      if (message.getKind() == REPORT_KIND) {
        long now = clock.nowNanos();
        for (StreamOriginRecord each :
            StreamOriginReport.parseFrom(message.getBody()).getStreamsList()) {
          table.record(each.getStream(), fromWire(each), now);
        }
      } else if (message.getKind() == QUESTION_KIND) {
        String stream = StreamOriginQuestion.parseFrom(message.getBody()).getStream();
        StreamOriginAnswer.Builder answer = StreamOriginAnswer.newBuilder();
        Optional<StreamOrigin> origin = table.find(stream, clock.nowNanos());
        origin.ifPresent(each -> answer.setStream(toWire(stream, each)));
        reply.accept(answer.build().toByteArray());
      }
    } catch (InvalidProtocolBufferException e) {
      throw new TrestleException(
          ErrorCode.MALFORMED_MESSAGE, "malformed message for " + message.getService(), e);
    }
  }
}
