package review2;

import java.nio.file.Path;

/** Runs a case: sets up a deployment, ends all processes, and exits with the result. */
final class Case {
  private static final int NOT_RUN = 2;

  /** The exit status of a held rule; 1 more for a broken one. The JVM itself ends with 1. */
  private static final int STATUS_BASE = 40;

  /** A case may take 120 s. */
  private static final long LIMIT_MILLIS = 115_000;

  private Case() {}

  /** The body of a case; returns 1 if the rule was broken, 0 if it held, 2 if it could not run. */
  interface Body {
    int run(Record record, Deployment deployment, boolean trouble) throws Exception;
  }

  /**
   * Runs a body. The file of the record is the first argument; 0 as the second one leaves the
   * disruption out.
   */
  static void main(String[] args, Body body) {
    boolean trouble = !"0".equals(args[1]);
    int rc = NOT_RUN;
    try (Record record = new Record(Path.of(args[0]));
        Deployment deployment = new Deployment(record)) {
      Runtime.getRuntime().addShutdownHook(new Thread(deployment::close));
      endInTime(record, deployment);
      record.line("with the disruption: " + trouble);
      try {
        rc = body.run(record, deployment, trouble);
      } catch (Exception e) {
        record.line("the case could not run: " + e);
        System.out.println("the case could not run: " + e);
      }
      record.line("exit " + rc);
    } catch (Exception e) {
      System.out.println("the case could not run: " + e);
    }
    System.out.println("exit " + rc);
    Runtime.getRuntime().halt(STATUS_BASE + rc);
  }

  private static void endInTime(Record record, Deployment deployment) {
    Thread thread =
        new Thread(
            () -> {
              try {
                Thread.sleep(LIMIT_MILLIS);
              } catch (InterruptedException e) {
                return;
              }
              record.line("the time of the case is up");
              deployment.close();
              System.out.println("exit " + NOT_RUN);
              Runtime.getRuntime().halt(STATUS_BASE + NOT_RUN);
            });
    thread.setDaemon(true);
    thread.start();
  }
}
