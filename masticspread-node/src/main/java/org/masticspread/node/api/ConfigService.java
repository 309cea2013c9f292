package org.masticspread.node.api;

import java.util.List;
import org.masticspread.model.config.AuditEntry;
import org.masticspread.model.config.Configuration;
import org.masticspread.model.result.MasticspreadException;

/** Reads and changes the configuration. */
public interface ConfigService {
  /**
   * Problem in one field of a configuration.
   *
   * @param field the path of the field
   * @param message the description of the problem
   */
  record Problem(String field, String message) {}

  /**
   * Returns the configuration in force on this VM.
   *
   * @return the configuration
   */
  Configuration inForce();

  /**
   * Reads a revision.
   *
   * @param revision the revision
   * @return the configuration
   * @throws MasticspreadException if the store does not answer or there is no such revision
   */
  Configuration revision(long revision) throws MasticspreadException;

  /**
   * Checks a configuration.
   *
   * @param configuration the configuration
   * @return its problems; empty if it can be applied
   */
  List<Problem> problems(Configuration configuration);

  /**
   * Applies a configuration and its audit entry together.
   *
   * @param expectedRevision the revision on which the change is based
   * @param configuration the new configuration
   * @param who the operator
   * @param what a short description of the change
   * @return the new revision
   * @throws MasticspreadException if it has problems, a concurrent change was applied first, or the
   *     store does not answer
   */
  long apply(long expectedRevision, Configuration configuration, String who, String what)
      throws MasticspreadException;

  /**
   * Reads the audit trail.
   *
   * @param limit the maximum number of entries to return
   * @return the entries, newest first
   * @throws MasticspreadException if the store does not answer
   */
  List<AuditEntry> audit(int limit) throws MasticspreadException;
}
