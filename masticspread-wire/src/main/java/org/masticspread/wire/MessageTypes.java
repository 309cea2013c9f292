package org.masticspread.wire;

import static java.util.Map.entry;

import java.io.IOException;
import java.util.Map;
import java.util.stream.Collectors;
import org.masticspread.codec.Mappers;
import org.masticspread.model.peer.Acknowledged;
import org.masticspread.model.peer.AdviceCall;
import org.masticspread.model.peer.AdviceReply;
import org.masticspread.model.peer.AskInFlight;
import org.masticspread.model.peer.CancelJob;
import org.masticspread.model.peer.CellCall;
import org.masticspread.model.peer.CellConfigRow;
import org.masticspread.model.peer.CellReply;
import org.masticspread.model.peer.ConfigFetched;
import org.masticspread.model.peer.Digest;
import org.masticspread.model.peer.Explain;
import org.masticspread.model.peer.Explained;
import org.masticspread.model.peer.FetchConfig;
import org.masticspread.model.peer.GangReserved;
import org.masticspread.model.peer.InFlight;
import org.masticspread.model.peer.JobAnswered;
import org.masticspread.model.peer.JobsListed;
import org.masticspread.model.peer.LeadCell;
import org.masticspread.model.peer.ListJobs;
import org.masticspread.model.peer.PeerMessage;
import org.masticspread.model.peer.PlaceTasks;
import org.masticspread.model.peer.ReadCellConfig;
import org.masticspread.model.peer.ReadJob;
import org.masticspread.model.peer.ReleaseGang;
import org.masticspread.model.peer.ReportTasks;
import org.masticspread.model.peer.RequestAnswered;
import org.masticspread.model.peer.ReserveGang;
import org.masticspread.model.peer.RunAtHome;
import org.masticspread.model.peer.RunAtShard;
import org.masticspread.model.peer.SealShards;
import org.masticspread.model.peer.ShardsSealed;
import org.masticspread.model.peer.StopTasks;
import org.masticspread.model.peer.SubmitJob;
import org.masticspread.model.peer.TasksAcknowledged;
import org.masticspread.model.peer.TasksPlaced;
import org.masticspread.model.peer.VmProbe;
import org.masticspread.model.peer.VmStatus;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * The message types and their numbers on the wire. A number is never reused for another message
 * type; a new type gets the next number.
 *
 * <p>Example: {@code MessageTypes.read(MessageTypes.numberOf(message),
 * MessageTypes.write(message))}.
 */
public final class MessageTypes {
  private static final Map<Integer, Class<? extends PeerMessage>> TYPES =
      Map.ofEntries(
          entry(100, Acknowledged.class),
          entry(101, Digest.class),
          entry(102, RunAtHome.class),
          entry(103, RunAtShard.class),
          entry(104, RequestAnswered.class),
          entry(105, AskInFlight.class),
          entry(106, InFlight.class),
          entry(107, SubmitJob.class),
          entry(108, ReadJob.class),
          entry(109, CancelJob.class),
          entry(110, JobAnswered.class),
          entry(111, ListJobs.class),
          entry(112, JobsListed.class),
          entry(113, PlaceTasks.class),
          entry(114, TasksPlaced.class),
          entry(115, StopTasks.class),
          entry(116, ReportTasks.class),
          entry(117, TasksAcknowledged.class),
          entry(118, SealShards.class),
          entry(119, ShardsSealed.class),
          entry(120, ReserveGang.class),
          entry(121, GangReserved.class),
          entry(122, ReleaseGang.class),
          entry(123, FetchConfig.class),
          entry(124, ConfigFetched.class),
          entry(125, Explain.class),
          entry(126, Explained.class),
          entry(128, CellCall.class),
          entry(129, CellReply.class),
          entry(130, AdviceCall.class),
          entry(131, AdviceReply.class),
          entry(132, VmProbe.class),
          entry(133, VmStatus.class),
          entry(134, LeadCell.class),
          entry(135, ReadCellConfig.class),
          entry(136, CellConfigRow.class));

  private static final Map<Class<?>, Integer> NUMBERS =
      TYPES.entrySet().stream().collect(Collectors.toMap(Map.Entry::getValue, Map.Entry::getKey));

  private MessageTypes() {}

  /**
   * Returns all message types by number.
   *
   * @return the types by number
   */
  public static Map<Integer, Class<? extends PeerMessage>> all() {
    return TYPES;
  }

  /**
   * Returns the number of a message.
   *
   * @param message the message
   * @return the number of its type
   * @throws IllegalArgumentException if the type of the message has no number
   */
  public static int numberOf(PeerMessage message) {
    Integer number = NUMBERS.get(message.getClass());
    if (number == null) {
      throw new IllegalArgumentException(
          "message: " + message.getClass().getName() + " has no number");
    }
    return number;
  }

  /**
   * Returns the name of a message type for the byte counters.
   *
   * @param number the number of the type
   * @return the name of the type; "control" for control frames and unknown numbers
   */
  public static String nameOf(int number) {
    Class<? extends PeerMessage> type = TYPES.get(number);
    return type == null ? "control" : type.getSimpleName();
  }

  /**
   * Encodes a message as MessagePack.
   *
   * @param message the message
   * @return the bytes, without the number
   * @throws WireFormatException if the message cannot be encoded
   */
  public static byte[] write(PeerMessage message) throws WireFormatException {
    try {
      return Mappers.messagePack().writeValueAsBytes(message);
    } catch (IOException | RuntimeException e) {
      throw new WireFormatException("cannot encode " + message.getClass().getSimpleName(), e);
    }
  }

  /**
   * Decodes a message.
   *
   * @param number the number of its type
   * @param body the bytes of the message
   * @return the message
   * @throws WireFormatException if the number is not known or the bytes are not a message of that
   *     type
   */
  public static PeerMessage read(int number, byte[] body) throws WireFormatException {
    Class<? extends PeerMessage> type = TYPES.get(number);
    if (type == null) {
      throw new WireFormatException("message number " + number + " is unknown", null);
    }
    try {
      requireWellFormed(body);
      PeerMessage message = Mappers.messagePack().readValue(body, type);
      if (message != null) {
        return message;
      }
    } catch (IOException | RuntimeException e) {
      throw new WireFormatException("cannot decode " + type.getSimpleName(), e);
    }
    throw new WireFormatException(
        "cannot decode " + type.getSimpleName() + ": the message is null", null);
  }

  /**
   * Skips over the encoded value first, so that an invalid length is detected before memory is
   * allocated for it.
   */
  private static void requireWellFormed(byte[] body) throws IOException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(body)) {
      unpacker.skipValue();
      if (unpacker.hasNext()) {
        throw new IOException("unexpected bytes after the message");
      }
    }
  }
}
