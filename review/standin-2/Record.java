package review2;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes record.txt: what was sent, answered and run, with times in ms since the start. */
final class Record implements AutoCloseable {
  private static final long START = System.nanoTime();
  private final PrintWriter out;

  Record(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file));
  }

  static long now() {
    return (System.nanoTime() - START) / 1_000_000;
  }

  synchronized void line(String text) {
    out.println(now() + " " + text);
    out.flush();
  }

  @Override
  public synchronized void close() {
    out.close();
  }
}
