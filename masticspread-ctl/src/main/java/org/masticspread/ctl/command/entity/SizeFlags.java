package org.masticspread.ctl.command.entity;

import org.masticspread.ctl.command.Flags;
import org.masticspread.ctl.command.UsageException;
import org.masticspread.ctl.units.MemorySize;
import org.masticspread.model.resource.ResourceVector;

/** Builds resource vectors out of flags. */
final class SizeFlags {
  private static final long MAX_MILLICORES = 1_000_000_000;
  private static final int MAX_ACCELERATORS = 1_000_000;

  private SizeFlags() {}

  static ResourceVector vector(
      String prefix,
      ResourceVector before,
      Long millicores,
      MemorySize memory,
      Integer accelerators)
      throws UsageException {
    Flags.requireBetween(prefix + "millicores", millicores, 0, MAX_MILLICORES);
    Flags.requireBetween(prefix + "accelerators", accelerators, 0, MAX_ACCELERATORS);
    ResourceVector old = Flags.or(before, ResourceVector.ZERO);
    return new ResourceVector(
        Flags.or(millicores, old.millicores()),
        memory == null ? old.memoryBytes() : memory.bytes(),
        Flags.or(accelerators, old.accelerators()));
  }
}
