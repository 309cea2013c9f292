package org.masticspread.soak;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A VM that runs as a separate process, which is signalled only by its process id. */
final class VmSubprocess {
  private final String name;
  private final Path settings;
  private final Path log;
  private final List<String> command;
  private final String front;
  private Process process;

  /** Whether the process was told to end. */
  private boolean shuttingDown;

  VmSubprocess(String name, ObjectNode settings, Path directory) throws IOException {
    this.name = name;
    this.settings = directory.resolve(name + ".yaml");
    this.log = directory.resolve(name + ".log");
    this.front = settings.path("listen").path("front").asText();
    // JSON is valid YAML.
    Files.writeString(this.settings, settings.toString());
    String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
    command =
        List.of(
            java,
            "-Xmx64m",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-cp",
            classPath(),
            "org.masticspread.adapter.Main",
            "vm");
  }

  /** Returns the class path of this process, which Surefire hides behind a jar of its own. */
  private static String classPath() {
    return System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"));
  }

  String name() {
    return name;
  }

  String front() {
    return front;
  }

  /** Returns the log, also of former processes of this VM. */
  String log() throws IOException {
    return Files.exists(log) ? Files.readString(log) : "";
  }

  void start() throws IOException {
    if (process != null && process.isAlive()) {
      return;
    }
    ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
    builder.environment().put("MASTICSPREAD_BOOT", settings.toString());
    shuttingDown = false;
    process = builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile())).start();
  }

  void signal(String signal) throws IOException, InterruptedException {
    shuttingDown |= signal.equals("TERM");
    if (process != null && process.isAlive()) {
      new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }
  }

  /** Waits for the end of a process that was told to end, and kills it if it is late. */
  void awaitShutdown(Duration timeout) throws InterruptedException {
    if (shuttingDown && !process.waitFor(timeout.toMillis(), TimeUnit.MILLISECONDS)) {
      kill();
    }
  }

  void kill() throws InterruptedException {
    if (process != null) {
      process.destroyForcibly();
      process.waitFor(5, TimeUnit.SECONDS);
    }
  }
}
