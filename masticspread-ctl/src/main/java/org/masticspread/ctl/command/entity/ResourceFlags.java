package org.masticspread.ctl.command.entity;

import org.masticspread.ctl.command.Flags;
import org.masticspread.ctl.command.UsageException;
import org.masticspread.ctl.units.MemorySize;
import org.masticspread.model.resource.ResourceVector;

/** Builds resource vectors from the values of flags. */
final class ResourceFlags {
  private static final long MAX_MILLICORES = 1_000_000_000;
  private static final int MAX_ACCELERATORS = 1_000_000;

  private ResourceFlags() {}

  static ResourceVector vector(
      String prefix,
      ResourceVector before,
      Long millicores,
      MemorySize memory,
      Integer accelerators)
      throws UsageException {
    Flags.requireBetween(prefix + "millicores", millicores, 0, MAX_MILLICORES);
    Flags.requireBetween(prefix + "accelerators", accelerators, 0, MAX_ACCELERATORS);
    ResourceVector old = Flags.orDefault(before, ResourceVector.ZERO);
    return new ResourceVector(
        Flags.orDefault(millicores, old.millicores()),
        memory == null ? old.memoryBytes() : memory.bytes(),
        Flags.orDefault(accelerators, old.accelerators()));
  }
}
