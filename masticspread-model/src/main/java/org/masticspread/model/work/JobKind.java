package org.masticspread.model.work;

/** The kind of a job. */
public enum JobKind {
  /** Independent tasks that run to completion. */
  BATCH,
  /** Tasks that run until they are stopped, spread over racks and data centres. */
  SERVICE,
  /** Tasks that start all together or not at all. */
  GANG
}
