package org.masticspread.ctl;

/** Entry point of the ctl binary. */
public final class CtlMain {
  private CtlMain() {}

  /**
   * Runs the program.
   *
   * @param args the command line
   */
  public static void main(String[] args) {
    System.out.println("masticspread");
  }
}
