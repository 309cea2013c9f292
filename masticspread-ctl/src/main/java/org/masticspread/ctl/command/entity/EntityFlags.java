package org.masticspread.ctl.command.entity;

import org.masticspread.ctl.command.UsageException;

/**
 * The flags that hold the fields of an entry.
 *
 * @param <T> the type of the entry
 */
interface EntityFlags<T> {
  /** Returns a new entry; a field that must be given is an error when its flag is missing. */
  T create(String name) throws UsageException;

  /** Returns the entry with the fields whose flags are given. */
  T change(T before) throws UsageException;
}
