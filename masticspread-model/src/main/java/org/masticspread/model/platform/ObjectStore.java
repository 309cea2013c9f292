package org.masticspread.model.platform;

import java.util.List;
import java.util.Optional;
import org.masticspread.model.work.Payload;

/** The object store of the platform. Each object is written as a whole. */
public interface ObjectStore {
  /**
   * Writes an object, replacing an existing one of the same name.
   *
   * @param name the name
   * @param content the content
   * @throws StoreException if the call fails
   */
  void put(String name, Payload content) throws StoreException;

  /**
   * Reads an object.
   *
   * @param name the name
   * @return the content, or empty if it is absent
   * @throws StoreException if the call fails
   */
  Optional<Payload> get(String name) throws StoreException;

  /**
   * Lists names in order.
   *
   * @param prefix the prefix of the names
   * @return the names
   * @throws StoreException if the call fails
   */
  List<String> list(String prefix) throws StoreException;

  /**
   * Deletes an object; does nothing if it is absent.
   *
   * @param name the name
   * @throws StoreException if the call fails
   */
  void delete(String name) throws StoreException;
}
