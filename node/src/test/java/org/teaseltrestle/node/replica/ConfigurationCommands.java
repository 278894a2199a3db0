package org.teaseltrestle.node.replica;

import com.google.protobuf.ByteString;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.teaseltrestle.wire.Command;
import org.teaseltrestle.wire.InstanceRecord;
import org.teaseltrestle.wire.PublishConfiguration;
import org.teaseltrestle.wire.RegisterInstance;

/** Creates encoded commands with configurations of many routes. */
final class ConfigurationCommands {

  private ConfigurationCommands() {}

  /** Returns a configuration that has one more route with each version. */
  static ByteString document(long version, int routes) {
    return ByteString.copyFromUtf8(
        IntStream.range(0, (int) (routes + version))
            .mapToObj(ConfigurationCommands::route)
            .collect(Collectors.joining(",\n", "{\"version\": " + version + ", [\n", "]}\n")));
  }

  private static String route(int number) {
    // Digits that do not repeat, so that the text is not compressed to nothing.
    String digits = Long.toHexString(number * 0x9E3779B97F4A7C15L);
    return "{\"route\": \"team-%04d\", \"pool\": \"%s\", \"service\": \"%s\", \"idle\": %d}"
        .formatted(number, digits, new StringBuilder(digits).reverse(), number % 600);
  }

  static ByteString publish(long version, int routes) {
    return publish("publish-" + version, version, document(version, routes));
  }

  static ByteString publish(String requestId, long version, ByteString document) {
    return Command.newBuilder()
        .setRequestId(requestId)
        .setProposedAtMillis(version)
        .setPublishConfiguration(
            PublishConfiguration.newBuilder().setVersion(version).setDocument(document))
        .build()
        .toByteString();
  }

  static ByteString register(String instance) {
    return Command.newBuilder()
        .setRequestId("register-" + instance)
        .setRegisterInstance(
            RegisterInstance.newBuilder()
                .setInstance(InstanceRecord.newBuilder().setInstance(instance).setBoot(1)))
        .build()
        .toByteString();
  }
}
