package org.masticspread.ctl.command.entity;

import org.masticspread.ctl.command.UsageException;

/**
 * The flags for the fields of an entry.
 *
 * @param <T> the type of the entry
 */
interface EntityFlags<T> {
  /** Returns a new entry; a missing flag of a required field is an error. */
  T create(String name) throws UsageException;

  /** Returns the entry with those fields replaced whose flags are given. */
  T change(T before) throws UsageException;
}
