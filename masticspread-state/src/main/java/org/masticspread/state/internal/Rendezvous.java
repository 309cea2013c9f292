package org.masticspread.state.internal;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.apache.commons.codec.digest.MurmurHash3;
import org.masticspread.model.id.VmId;

/** Unweighted rendezvous hashing of names to VMs. */
public final class Rendezvous {
  private Rendezvous() {}

  /**
   * Returns the VM with the highest score for a name.
   *
   * @param name the name
   * @param vms the VMs
   * @return the VM, or empty if there are none
   */
  public static Optional<VmId> owner(String name, Collection<VmId> vms) {
    return vms.stream().max(byScore(name));
  }

  /**
   * Orders VMs by descending score for a name.
   *
   * @param name the name
   * @param vms the VMs
   * @return the VMs, the owner first
   */
  public static List<VmId> ranking(String name, Collection<VmId> vms) {
    return vms.stream().sorted(byScore(name).reversed()).toList();
  }

  /**
   * Returns the hash of a string.
   *
   * @param text the string
   * @return the 64-bit hash, the same on every VM
   */
  public static long hash(String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    return MurmurHash3.hash128x64(bytes, 0, bytes.length, 0)[0];
  }

  private static Comparator<VmId> byScore(String name) {
    Comparator<VmId> score = Comparator.comparingLong(vm -> hash(name + "\n" + vm));
    return score.thenComparing(Comparator.naturalOrder());
  }
}
