package org.masticspread.model.work;

/** The kinds of jobs. */
public enum JobKind {
  /** Tasks that run to their end, each on its own. */
  BATCH,
  /** Tasks that run until they are stopped, spread over racks and data centres. */
  SERVICE,
  /** Tasks that start all together or not at all. */
  GANG
}
