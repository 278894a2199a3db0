package org.teaseltrestle.consensus;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.stream.Stream;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.InstanceId;
import org.teaseltrestle.model.ReplicaId;
import org.teaseltrestle.model.TrestleException;

/**
 * Members of the consensus group. Each list is in the order in which its members were added.
 *
 * @param voters members that vote
 * @param learners members that receive the log but do not vote
 */
public record Configuration(List<ReplicaId> voters, List<ReplicaId> learners) {

  /** Configuration of a replica that belongs to no group. */
  public static final Configuration EMPTY = new Configuration(List.of(), List.of());

  private static final int MAXIMUM_MEMBERS = 1_024;

  /** Copies the lists. */
  public Configuration {
    voters = List.copyOf(voters);
    learners = List.copyOf(learners);
  }

  /** Returns the number of voters that make a quorum. */
  public int quorumSize() {
    return voters.size() / 2 + 1;
  }

  /** Returns whether the given replicas include a quorum of the voters. */
  public boolean isQuorum(Collection<ReplicaId> replicas) {
    return voters.stream().filter(replicas::contains).count() >= quorumSize();
  }

  /** Returns whether a replica is a voter or a learner. */
  public boolean isMember(ReplicaId replica) {
    return voters.contains(replica) || learners.contains(replica);
  }

  /** Returns the voters, followed by the learners. */
  public List<ReplicaId> members() {
    return Stream.concat(voters.stream(), learners.stream()).toList();
  }

  /** Returns this configuration with a new learner in place of other learners of its instance. */
  public Configuration withLearner(ReplicaId replica) {
    InstanceId instance = replica.instance();
    Stream<ReplicaId> others = learners.stream().filter(id -> !id.instance().equals(instance));
    return new Configuration(voters, Stream.concat(others, Stream.of(replica)).toList());
  }

  /** Returns this configuration with a learner promoted to a voter. */
  public Configuration withVoter(ReplicaId replica) {
    List<ReplicaId> changed = new ArrayList<>(voters);
    changed.add(replica);
    return new Configuration(changed, without(learners, replica));
  }

  /** Returns this configuration without a member. */
  public Configuration withoutMember(ReplicaId replica) {
    return new Configuration(without(voters, replica), without(learners, replica));
  }

  /** Encodes this configuration as stored in log entries, files and messages. */
  public byte[] encode() {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (DataOutputStream out = new DataOutputStream(bytes)) {
      writeMembers(out, voters);
      writeMembers(out, learners);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return bytes.toByteArray();
  }

  /**
   * Decodes a configuration.
   *
   * @throws TrestleException with {@link ErrorCode#DATA_CORRUPTED} if the bytes are malformed
   */
  public static Configuration decode(byte[] encoded) {
    try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(encoded))) {
      return new Configuration(readMembers(in), readMembers(in));
    } catch (IOException e) {
      throw new TrestleException(ErrorCode.DATA_CORRUPTED, "malformed configuration entry", e);
    }
  }

  private static List<ReplicaId> without(List<ReplicaId> members, ReplicaId replica) {
    return members.stream().filter(id -> !id.equals(replica)).toList();
  }

  private static void writeMembers(DataOutputStream out, List<ReplicaId> members)
      throws IOException {
    out.writeInt(members.size());
    for (ReplicaId member : members) {
      out.writeUTF(member.instance().value());
      out.writeLong(member.incarnation());
    }
  }

  private static List<ReplicaId> readMembers(DataInputStream in) throws IOException {
    int count = in.readInt();
    if (count < 0 || count > MAXIMUM_MEMBERS) {
      throw new IOException("member count out of range: " + count);
    }
    List<ReplicaId> members = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      members.add(new ReplicaId(new InstanceId(in.readUTF()), in.readLong()));
    }
    return members;
  }
}
