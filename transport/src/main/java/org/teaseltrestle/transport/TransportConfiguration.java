package org.teaseltrestle.transport;

import java.net.InetSocketAddress;
import java.util.Objects;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.model.InstanceId;

/** Immutable configuration of a {@link NettyPeerTransport}. */
public final class TransportConfiguration {

  private static final int DEFAULT_MAXIMUM_FRAME_BYTES = 64 << 20;
  private static final int DEFAULT_MAXIMUM_PENDING_BYTES = 8 << 20;

  /** The rest of the heap is for state, messages that are being built and garbage. */
  private static final int HEAP_PER_WAITING_BYTES = 6;

  private final InstanceId instance;
  private final long boot;
  private final InetSocketAddress listenAddress;
  private final @Nullable TlsMaterial tls;
  private final int maximumFrameBytes;
  private final int maximumPendingBytes;
  private final long maximumWaitingBytes;

  private TransportConfiguration(Builder builder) {
    this.instance = Objects.requireNonNull(builder.instance, "instance");
    this.listenAddress = Objects.requireNonNull(builder.listenAddress, "listenAddress");
    this.boot = builder.boot;
    this.tls = builder.tls;
    this.maximumFrameBytes = builder.maximumFrameBytes;
    this.maximumPendingBytes = builder.maximumPendingBytes;
    this.maximumWaitingBytes = builder.maximumWaitingBytes;
  }

  /** Returns a builder with default limits and without TLS. */
  public static Builder builder() {
    return new Builder();
  }

  /** Returns the instance of this process, sent in every message. */
  public InstanceId instance() {
    return instance;
  }

  /** Returns the boot ID, a random number drawn when this process started. */
  public long boot() {
    return boot;
  }

  /** Returns the address to listen on. */
  public InetSocketAddress listenAddress() {
    return listenAddress;
  }

  /** Returns the TLS material, or null for plain connections. */
  public @Nullable TlsMaterial tls() {
    return tls;
  }

  /** Returns the largest accepted frame, in bytes. */
  public int maximumFrameBytes() {
    return maximumFrameBytes;
  }

  /** Returns the bytes that may wait for one peer before messages to it are dropped. */
  public int maximumPendingBytes() {
    return maximumPendingBytes;
  }

  /** Returns the bytes that may wait for all peers together before messages are dropped. */
  public long maximumWaitingBytes() {
    return maximumWaitingBytes;
  }

  /** Builds a {@link TransportConfiguration}. */
  public static final class Builder {

    private @Nullable InstanceId instance;
    private long boot;
    private @Nullable InetSocketAddress listenAddress;
    private @Nullable TlsMaterial tls;
    private int maximumFrameBytes = DEFAULT_MAXIMUM_FRAME_BYTES;
    private int maximumPendingBytes = DEFAULT_MAXIMUM_PENDING_BYTES;
    private long maximumWaitingBytes = Runtime.getRuntime().maxMemory() / HEAP_PER_WAITING_BYTES;

    private Builder() {}

    /** Sets the instance of this process, sent in every message; required. */
    public Builder instance(InstanceId value) {
      this.instance = value;
      return this;
    }

    /** Sets the boot ID, a random number drawn when this process started. */
    public Builder boot(long value) {
      this.boot = value;
      return this;
    }

    /** Sets the address to listen on; required. */
    public Builder listenAddress(InetSocketAddress value) {
      this.listenAddress = value;
      return this;
    }

    /** Sets the TLS material; null for plain connections. */
    public Builder tls(@Nullable TlsMaterial value) {
      this.tls = value;
      return this;
    }

    /** Sets the largest accepted frame, in bytes. */
    public Builder maximumFrameBytes(int value) {
      this.maximumFrameBytes = value;
      return this;
    }

    /** Sets the bytes that may wait for one peer before messages to it are dropped. */
    public Builder maximumPendingBytes(int value) {
      this.maximumPendingBytes = value;
      return this;
    }

    /**
     * Sets the bytes that may wait for all peers together before messages are dropped; a sixth of
     * the maximum heap if not set.
     */
    public Builder maximumWaitingBytes(long value) {
      this.maximumWaitingBytes = value;
      return this;
    }

    /** Builds the configuration; the instance and the address must be set. */
    public TransportConfiguration build() {
      return new TransportConfiguration(this);
    }
  }
}
