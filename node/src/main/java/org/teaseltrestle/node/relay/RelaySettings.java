package org.teaseltrestle.node.relay;

import java.time.Duration;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.node.replica.DisseminationTreeSettings;

/** Settings of the relay; created by {@link #builder()}. */
public final class RelaySettings {

  /** Bodies up to this multiple of their limit are read, so that their callers get a response. */
  static final long ENTITY_SIZE_FACTOR = 4;

  private final Builder values;

  private RelaySettings(Builder values) {
    this.values = values;
  }

  /** Returns a builder with the default values. */
  public static Builder builder() {
    return new Builder();
  }

  /** Returns the host that the caller port is bound to. */
  public String host() {
    return values.host;
  }

  /** Returns the caller port, 0 for any free one. */
  public int port() {
    return values.port;
  }

  /** Returns the maximum number of concurrent requests. */
  public int relayThreads() {
    return values.relayThreads;
  }

  /** Returns the largest request body in bytes. */
  public int maximumBodyBytes() {
    return values.maximumBodyBytes;
  }

  /** Returns the largest sum of header names and values in bytes. */
  public int maximumHeaderBytes() {
    return values.maximumHeaderBytes;
  }

  /** Returns the time allowed to receive a request body. */
  public Duration bodyTimeout() {
    return values.bodyTimeout;
  }

  /** Returns the longest time in which a caller may read no byte of its response. */
  public Duration callerWriteTimeout() {
    return values.callerWriteTimeout;
  }

  /** Returns the longest wait for an engine's first token in one attempt. */
  public Duration firstTokenTimeout() {
    return values.firstTokenTimeout;
  }

  /** Returns the longest wait between two tokens of an engine. */
  public Duration nextTokenTimeout() {
    return values.nextTokenTimeout;
  }

  /** Returns the longest wait for a plain service, for the response and between two bytes. */
  public Duration serviceTimeout() {
    return values.serviceTimeout;
  }

  /** Returns the longest wait for a decision of the admission duty. */
  public Duration decisionTimeout() {
    return values.decisionTimeout;
  }

  /** Returns the longest wait for the commit of an idempotency claim or outcome. */
  public Duration claimTimeout() {
    return values.claimTimeout;
  }

  /**
   * Returns the largest age of the known committed state by which a request may be refused for
   * good.
   */
  public Duration maximumKnowledgeAge() {
    return values.maximumKnowledgeAge;
  }

  /** Returns how long new connections are accepted after a shutdown was requested. */
  public Duration shutdownDelay() {
    return values.shutdownDelay;
  }

  /** Returns the longest wait for running requests during a shutdown, null for no limit. */
  public @Nullable Duration drainTimeout() {
    return values.drainTimeout;
  }

  /** Builds {@link RelaySettings}. */
  public static final class Builder {

    private String host = "127.0.0.1";
    private int port;
    private int relayThreads = 256;
    private int maximumBodyBytes = 4 * 1024 * 1024;
    private int maximumHeaderBytes = 16 * 1024;
    private Duration bodyTimeout = Duration.ofSeconds(10);
    private Duration callerWriteTimeout = Duration.ofSeconds(20);
    private Duration firstTokenTimeout = Duration.ofSeconds(30);
    private Duration nextTokenTimeout = Duration.ofSeconds(10);
    private Duration serviceTimeout = Duration.ofSeconds(30);
    private Duration decisionTimeout = Duration.ofSeconds(60);
    private Duration claimTimeout = Duration.ofSeconds(3);
    private Duration maximumKnowledgeAge =
        Duration.ofNanos(DisseminationTreeSettings.DEEP.rootTimeoutNanos());
    private Duration shutdownDelay = Duration.ofSeconds(5);
    private @Nullable Duration drainTimeout;

    private Builder() {}

    /** Sets the host that the caller port is bound to. */
    public Builder host(String value) {
      host = value;
      return this;
    }

    /** Sets the caller port, 0 for any free one. */
    public Builder port(int value) {
      port = value;
      return this;
    }

    /** Sets the maximum number of concurrent requests. */
    public Builder relayThreads(int value) {
      relayThreads = value;
      return this;
    }

    /** Sets the largest request body in bytes. */
    public Builder maximumBodyBytes(int value) {
      maximumBodyBytes = value;
      return this;
    }

    /** Sets the largest sum of header names and values in bytes. */
    public Builder maximumHeaderBytes(int value) {
      maximumHeaderBytes = value;
      return this;
    }

    /** Sets the time allowed to receive a request body. */
    public Builder bodyTimeout(Duration value) {
      bodyTimeout = value;
      return this;
    }

    /** Sets the longest time in which a caller may read no byte of its response. */
    public Builder callerWriteTimeout(Duration value) {
      callerWriteTimeout = value;
      return this;
    }

    /** Sets the longest wait for an engine's first token in one attempt. */
    public Builder firstTokenTimeout(Duration value) {
      firstTokenTimeout = value;
      return this;
    }

    /** Sets the longest wait between two tokens of an engine. */
    public Builder nextTokenTimeout(Duration value) {
      nextTokenTimeout = value;
      return this;
    }

    /** Sets the longest wait for a plain service, for the response and between two bytes. */
    public Builder serviceTimeout(Duration value) {
      serviceTimeout = value;
      return this;
    }

    /** Sets the longest wait for a decision of the admission duty. */
    public Builder decisionTimeout(Duration value) {
      decisionTimeout = value;
      return this;
    }

    /** Sets the longest wait for the commit of an idempotency claim or outcome. */
    public Builder claimTimeout(Duration value) {
      claimTimeout = value;
      return this;
    }

    /**
     * Sets the largest age of the known committed state by which a request may be refused for good.
     */
    public Builder maximumKnowledgeAge(Duration value) {
      maximumKnowledgeAge = value;
      return this;
    }

    /** Sets how long new connections are accepted after a shutdown was requested. */
    public Builder shutdownDelay(Duration value) {
      shutdownDelay = value;
      return this;
    }

    /** Sets the longest wait for running requests during a shutdown, null for no limit. */
    public Builder drainTimeout(@Nullable Duration value) {
      drainTimeout = value;
      return this;
    }

    /** Returns the settings. */
    public RelaySettings build() {
      Builder copy = new Builder();
      copy.host = host;
      copy.port = port;
      copy.relayThreads = relayThreads;
      copy.maximumBodyBytes = maximumBodyBytes;
      copy.maximumHeaderBytes = maximumHeaderBytes;
      copy.bodyTimeout = bodyTimeout;
      copy.callerWriteTimeout = callerWriteTimeout;
      copy.firstTokenTimeout = firstTokenTimeout;
      copy.nextTokenTimeout = nextTokenTimeout;
      copy.serviceTimeout = serviceTimeout;
      copy.decisionTimeout = decisionTimeout;
      copy.claimTimeout = claimTimeout;
      copy.maximumKnowledgeAge = maximumKnowledgeAge;
      copy.shutdownDelay = shutdownDelay;
      copy.drainTimeout = drainTimeout;
      return new RelaySettings(copy);
    }
  }
}
