package org.teaseltrestle.node.replica;

import com.google.protobuf.ByteString;
import com.google.protobuf.DescriptorProtos.DescriptorProto;
import com.google.protobuf.DescriptorProtos.FieldDescriptorProto;
import com.google.protobuf.DescriptorProtos.FieldDescriptorProto.Label;
import com.google.protobuf.DescriptorProtos.FieldDescriptorProto.Type;
import com.google.protobuf.DescriptorProtos.FileDescriptorProto;
import com.google.protobuf.Descriptors.Descriptor;
import com.google.protobuf.Descriptors.DescriptorValidationException;
import com.google.protobuf.Descriptors.FieldDescriptor;
import com.google.protobuf.Descriptors.FileDescriptor;
import com.google.protobuf.DynamicMessage;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.List;

/**
 * Messages between parent and child before differences, parts of a state and questions that are no
 * subscriptions: follow.proto of the build before them, as far as those messages need it.
 */
final class EarlierSchema {

  private static final FileDescriptor FILE = file();

  private EarlierSchema() {}

  static List<Descriptor> messageTypes() {
    return FILE.getMessageTypes();
  }

  static DynamicMessage parse(String message, ByteString body) {
    try {
      return DynamicMessage.parseFrom(FILE.findMessageTypeByName(message), body);
    } catch (InvalidProtocolBufferException e) {
      throw new IllegalArgumentException(e);
    }
  }

  static Builder create(String message) {
    return new Builder(DynamicMessage.newBuilder(FILE.findMessageTypeByName(message)));
  }

  static Object get(DynamicMessage message, String field) {
    return message.getField(descriptor(message.getDescriptorForType(), field));
  }

  static long number(DynamicMessage message, String field) {
    return ((Number) get(message, field)).longValue();
  }

  static List<DynamicMessage> messages(DynamicMessage message, String field) {
    return ((List<?>) get(message, field)).stream().map(DynamicMessage.class::cast).toList();
  }

  private static FieldDescriptor descriptor(Descriptor message, String field) {
    FieldDescriptor descriptor = message.findFieldByName(field);
    if (descriptor == null) {
      throw new IllegalArgumentException(message.getName() + "." + field);
    }
    return descriptor;
  }

  /** Sets fields by their names. */
  static final class Builder {

    private final DynamicMessage.Builder message;

    private Builder(DynamicMessage.Builder message) {
      this.message = message;
    }

    Builder set(String field, Object value) {
      message.setField(descriptor(message.getDescriptorForType(), field), value);
      return this;
    }

    Builder add(String field, DynamicMessage value) {
      message.addRepeatedField(descriptor(message.getDescriptorForType(), field), value);
      return this;
    }

    DynamicMessage build() {
      return message.build();
    }
  }

  private static FileDescriptor file() {
    FileDescriptorProto file =
        FileDescriptorProto.newBuilder()
            .setName("earlier-follow.proto")
            .setPackage("earlier")
            .setSyntax("proto3")
            .addMessageType(
                message("LeaseRenewal")
                    .addField(field("instance", 1, Type.TYPE_STRING))
                    .addField(field("boot", 2, Type.TYPE_FIXED64))
                    .addField(field("applied_index", 3, Type.TYPE_UINT64))
                    .addField(field("sent_at_nanos", 4, Type.TYPE_SFIXED64))
                    // An InstanceRecord, which these tests pass on as it is.
                    .addField(field("registration", 5, Type.TYPE_BYTES)))
            .addMessageType(
                message("AccountDemand")
                    .addField(field("account", 1, Type.TYPE_STRING))
                    .addField(field("tokens_per_second", 2, Type.TYPE_DOUBLE)))
            .addMessageType(
                message("PoolDemand")
                    .addField(field("pool", 1, Type.TYPE_STRING))
                    .addField(field("prefill_tokens_per_second", 2, Type.TYPE_DOUBLE))
                    .addField(field("decode_tokens_per_second", 3, Type.TYPE_DOUBLE))
                    .addField(field("cheap_tokens_per_second", 4, Type.TYPE_DOUBLE)))
            .addMessageType(
                message("RenewalBundle")
                    .addField(field("instance", 1, Type.TYPE_STRING))
                    .addField(field("boot", 2, Type.TYPE_FIXED64))
                    .addField(field("applied_index", 3, Type.TYPE_UINT64))
                    .addField(field("reply_address", 4, Type.TYPE_STRING))
                    .addField(repeated("renewals", 5, "LeaseRenewal"))
                    .addField(repeated("demand", 6, "AccountDemand"))
                    .addField(field("follows", 7, Type.TYPE_BOOL))
                    .addField(repeated("pool_demand", 8, "PoolDemand"))
                    .addField(field("entries_missing", 9, Type.TYPE_BOOL))
                    .addField(field("sent_at_nanos", 10, Type.TYPE_SFIXED64)))
            .addMessageType(
                message("LeaseGrant")
                    .addField(field("instance", 1, Type.TYPE_STRING))
                    .addField(field("boot", 2, Type.TYPE_FIXED64))
                    .addField(field("sent_at_nanos", 3, Type.TYPE_SFIXED64)))
            .addMessageType(
                message("GrantBundle")
                    .addField(repeated("grants", 1, "LeaseGrant"))
                    .addField(repeated("total_demand", 2, "AccountDemand"))
                    .addField(field("registered_instances", 3, Type.TYPE_UINT32)))
            .addMessageType(
                message("LoggedCommand")
                    .addField(field("index", 1, Type.TYPE_UINT64))
                    .addField(field("command", 2, Type.TYPE_BYTES)))
            .addMessageType(
                message("LeaderNews")
                    .addField(field("instance", 1, Type.TYPE_STRING))
                    .addField(field("term", 2, Type.TYPE_UINT64))
                    .addField(field("age_millis", 3, Type.TYPE_UINT64)))
            .addMessageType(
                message("CommittedCommands")
                    .addField(repeated("commands", 1, "LoggedCommand"))
                    .addField(field("applied_index", 2, Type.TYPE_UINT64))
                    .addField(field("root_age_millis", 3, Type.TYPE_UINT64))
                    .addField(field("root_age_unknown", 4, Type.TYPE_BOOL))
                    .addField(
                        field("leader", 5, Type.TYPE_MESSAGE).setTypeName(".earlier.LeaderNews"))
                    .addField(field("bundle_sent_at_nanos", 6, Type.TYPE_SFIXED64)))
            .addMessageType(
                message("CommittedState")
                    .addField(field("applied_index", 1, Type.TYPE_UINT64))
                    .addField(field("snapshot", 2, Type.TYPE_BYTES)))
            .build();
    try {
      return FileDescriptor.buildFrom(file, new FileDescriptor[0]);
    } catch (DescriptorValidationException e) {
      throw new IllegalStateException(e);
    }
  }

  private static DescriptorProto.Builder message(String name) {
    return DescriptorProto.newBuilder().setName(name);
  }

  private static FieldDescriptorProto.Builder field(String name, int number, Type type) {
    return FieldDescriptorProto.newBuilder()
        .setName(name)
        .setNumber(number)
        .setType(type)
        .setLabel(Label.LABEL_OPTIONAL);
  }

  private static FieldDescriptorProto.Builder repeated(String name, int number, String message) {
    return field(name, number, Type.TYPE_MESSAGE)
        .setLabel(Label.LABEL_REPEATED)
        .setTypeName(".earlier." + message);
  }
}
