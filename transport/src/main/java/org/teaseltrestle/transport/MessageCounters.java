package org.teaseltrestle.transport;

import java.util.concurrent.atomic.LongAdder;

/** Counters of one kind of message. */
final class MessageCounters implements MessageStatistics {

  private final String name;
  private final LongAdder sentMessages = new LongAdder();
  private final LongAdder sentBytes = new LongAdder();
  private final LongAdder receivedMessages = new LongAdder();
  private final LongAdder receivedBytes = new LongAdder();
  private final LongAdder droppedMessages = new LongAdder();

  MessageCounters(String name) {
    this.name = name;
  }

  void sent(long bytes) {
    sentMessages.increment();
    sentBytes.add(bytes);
  }

  void received(long bytes) {
    receivedMessages.increment();
    receivedBytes.add(bytes);
  }

  void dropped() {
    droppedMessages.increment();
  }

  @Override
  public String name() {
    return name;
  }

  @Override
  public long sentMessages() {
    return sentMessages.sum();
  }

  @Override
  public long sentBytes() {
    return sentBytes.sum();
  }

  @Override
  public long receivedMessages() {
    return receivedMessages.sum();
  }

  @Override
  public long receivedBytes() {
    return receivedBytes.sum();
  }

  @Override
  public long droppedMessages() {
    return droppedMessages.sum();
  }
}
