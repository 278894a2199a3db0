package org.teaseltrestle.transport;

import io.netty.buffer.PooledByteBufAllocator;
import java.net.SocketAddress;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Consumer;
import org.teaseltrestle.kernel.ByteBudget;
import org.teaseltrestle.kernel.MonotonicClock;
import org.teaseltrestle.wire.Envelope;

/** Counters of one transport, and the accounts of its connections. */
final class TransportCounters implements TransportStatistics {

  static final int LENGTH_PREFIX_BYTES = 4;

  /** Names come from messages, so their number is bounded. */
  private static final int MAXIMUM_KINDS = 64;

  /** Several peers that do not read must not take what the others need. */
  private static final int PROCESS_PER_CONNECTION_BYTES = 8;

  private static final String ANSWER = "answer";
  private static final String PROBE = "probe";

  private final DropLog dropLog;
  private final Map<MessageKey, MessageCounters> kinds = new ConcurrentHashMap<>();
  private final MessageCounters answers = new MessageCounters(ANSWER);
  private final MessageCounters probes = new MessageCounters(PROBE);
  private final MessageCounters others = new MessageCounters("other");
  private final List<Consumer<MessageStatistics>> consumers = new CopyOnWriteArrayList<>();
  private final Map<DropReason, LongAdder> dropped = new EnumMap<>(DropReason.class);
  private final ByteBudget waitingBytes;
  private final long maximumConnectionBytes;
  private final Set<WaitingMessages> connections = ConcurrentHashMap.newKeySet();

  TransportCounters(MonotonicClock clock, long maximumWaitingBytes, long maximumPendingBytes) {
    this.waitingBytes = new ByteBudget(maximumWaitingBytes, WaitingMessages.SMALL_BYTES);
    this.maximumConnectionBytes =
        Math.min(maximumPendingBytes, maximumWaitingBytes / PROCESS_PER_CONNECTION_BYTES);
    this.dropLog = new DropLog(clock);
    for (DropReason reason : DropReason.values()) {
      dropped.put(reason, new LongAdder());
    }
  }

  /** Opens the account of a connection, which must be closed. */
  WaitingMessages open(SocketAddress peer) {
    WaitingMessages connection =
        new WaitingMessages(this, waitingBytes, peer, maximumConnectionBytes);
    connections.add(connection);
    return connection;
  }

  /** Returns the bytes of a message on its connection. */
  static long bytes(Envelope envelope) {
    return (long) LENGTH_PREFIX_BYTES + envelope.getSerializedSize();
  }

  void countReceived(Envelope envelope) {
    countersOf(envelope).received(bytes(envelope));
  }

  void countSent(Envelope envelope) {
    countersOf(envelope).sent(bytes(envelope));
  }

  void countDropped(SocketAddress peer, Envelope envelope, DropReason reason) {
    MessageCounters counters = countersOf(envelope);
    counters.dropped();
    adder(reason).increment();
    dropLog.dropped(peer, reason, counters.name());
  }

  /** Writes the log lines that are due; called by one thread. */
  void writeDueLines() {
    dropLog.writeDueLines();
  }

  void closed(WaitingMessages connection) {
    connections.remove(connection);
  }

  @Override
  public long waitingBytes() {
    return waitingBytes.used();
  }

  @Override
  public long largestWaitingBytes() {
    return connections.stream().mapToLong(WaitingMessages::bytes).max().orElse(0);
  }

  @Override
  public long directBufferBytes() {
    return PooledByteBufAllocator.DEFAULT.metric().usedDirectMemory();
  }

  @Override
  public long dropped(DropReason reason) {
    return adder(reason).sum();
  }

  @Override
  public synchronized void forEachKind(Consumer<MessageStatistics> consumer) {
    consumers.add(consumer);
    consumer.accept(answers);
    consumer.accept(probes);
    consumer.accept(others);
    kinds.values().forEach(consumer);
  }

  private LongAdder adder(DropReason reason) {
    return dropped.getOrDefault(reason, new LongAdder());
  }

  private MessageCounters countersOf(Envelope envelope) {
    if (envelope.getAnswer()) {
      return answers;
    }
    if (envelope.getService().equals(PeerChannelHandler.PROBE_SERVICE)) {
      return probes;
    }
    MessageKey key = new MessageKey(envelope.getService(), envelope.getKind());
    MessageCounters known = kinds.get(key);
    return known == null ? addKind(key) : known;
  }

  private synchronized MessageCounters addKind(MessageKey key) {
    MessageCounters known = kinds.get(key);
    if (known != null) {
      return known;
    }
    if (kinds.size() >= MAXIMUM_KINDS) {
      return others;
    }
    MessageCounters added = new MessageCounters(key.service() + "." + key.kind());
    kinds.put(key, added);
    consumers.forEach(consumer -> consumer.accept(added));
    return added;
  }

  private record MessageKey(String service, int kind) {}
}
