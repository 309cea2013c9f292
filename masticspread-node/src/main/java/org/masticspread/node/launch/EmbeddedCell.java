package org.masticspread.node.launch;

import java.io.IOException;
import java.io.InputStream;
import org.masticspread.codec.InputReader;
import org.masticspread.model.config.Configuration;
import org.masticspread.model.result.MasticspreadException;
import org.masticspread.model.result.ResultCode;

/** Example cells that are shipped with the node, each as its initial configuration. */
public final class EmbeddedCell {
  private EmbeddedCell() {}

  /**
   * Reads an example cell.
   *
   * @param name the name, {@code kitami} or {@code mtkvari}
   * @return its configuration
   * @throws MasticspreadException if there is no example of that name or it cannot be read
   */
  public static Configuration named(String name) throws MasticspreadException {
    String resource = "/examples/" + name + "/cell.yaml";
    try (InputStream in = EmbeddedCell.class.getResourceAsStream(resource)) {
      if (in == null) {
        throw new MasticspreadException(ResultCode.NOT_FOUND, "no example cell " + name);
      }
      return InputReader.yaml().read(in.readAllBytes(), Configuration.class);
    } catch (IOException e) {
      throw new MasticspreadException(
          ResultCode.INTERNAL_ERROR, "example cell " + name + " cannot be read", e);
    }
  }
}
