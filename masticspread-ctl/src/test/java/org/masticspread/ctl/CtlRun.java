package org.masticspread.ctl;

import java.io.BufferedReader;
import java.io.PrintWriter;
import java.io.StringReader;
import java.io.StringWriter;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.masticspread.ctl.command.CtlContext;

/** The outcome of a run of the command line with a fake clock that advances only during pauses. */
record CtlRun(int exit, String out, String err, List<Duration> pauses) {
  static final Instant START = Instant.parse("2026-12-04T10:00:00Z");

  static CtlRun of(String... args) {
    return of(Map.of(), "", args);
  }

  static CtlRun of(Map<String, String> environment, String in, String... args) {
    StringWriter out = new StringWriter();
    StringWriter err = new StringWriter();
    List<Duration> pauses = new ArrayList<>();
    CtlContext context =
        new CtlContext(
            environment,
            new BufferedReader(new StringReader(in)),
            new PrintWriter(out),
            new PrintWriter(err),
            () -> pauses.stream().reduce(START, Instant::plus, (a, b) -> b),
            pauses::add);
    return new CtlRun(CtlMain.run(context, args), out.toString(), err.toString(), pauses);
  }

  /** Runs against a node; the arguments in the line are separated by spaces. */
  static CtlRun at(FakeNode node, String line) {
    return of(Map.of("MASTICSPREAD_URL", node.url()), "", line.split(" "));
  }
}
