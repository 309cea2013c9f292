package org.masticspread.node;

/** Entry point of the node binary. */
public final class NodeMain {
  private NodeMain() {}

  /**
   * Runs the program.
   *
   * @param args the command line
   */
  public static void main(String[] args) {
    System.out.println("masticspread");
  }
}
