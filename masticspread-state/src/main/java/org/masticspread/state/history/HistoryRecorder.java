package org.masticspread.state.history;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.Reader;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.masticspread.codec.InputReader;
import org.masticspread.codec.Mappers;
import org.masticspread.model.result.InvalidFieldException;

/**
 * Collects the events of a history from several threads, and reads and writes them as JSON Lines.
 *
 * <p>Example: {@code recorder.record(event); recorder.check()}. Thread-safe.
 */
public final class HistoryRecorder {
  private final List<HistoryEvent> events = new ArrayList<>();

  /** Creates a recorder without events. */
  public HistoryRecorder() {}

  /**
   * Reads a history.
   *
   * @param lines one JSON event per line; blank lines are skipped
   * @return a recorder with the events
   * @throws IOException if the lines can't be read
   * @throws InvalidFieldException if a line is not a valid event; the error contains the line
   *     number
   */
  public static HistoryRecorder read(Reader lines) throws IOException, InvalidFieldException {
    HistoryRecorder recorder = new HistoryRecorder();
    BufferedReader in = new BufferedReader(lines);
    int lineNumber = 0;
    for (String line = in.readLine(); line != null; line = in.readLine()) {
      lineNumber++;
      if (!line.isBlank()) {
        recorder.record(parse(lineNumber, line));
      }
    }
    return recorder;
  }

  private static HistoryEvent parse(int lineNumber, String line) throws InvalidFieldException {
    try {
      byte[] bytes = line.getBytes(StandardCharsets.UTF_8);
      return InputReader.json().read(bytes, HistoryEvent.class);
    } catch (InvalidFieldException e) {
      throw new InvalidFieldException(
          "line " + lineNumber, e.getMessage(), "an event of a history");
    }
  }

  /**
   * Adds an event.
   *
   * @param event the event
   */
  public synchronized void record(HistoryEvent event) {
    events.add(event);
  }

  /**
   * Returns the events so far.
   *
   * @return the events in the order in which they were added
   */
  public synchronized List<HistoryEvent> events() {
    return List.copyOf(events);
  }

  /**
   * Checks the events so far.
   *
   * @return the violations; empty if there are none
   */
  public List<Violation> check() {
    return HistoryChecker.check(events());
  }

  /**
   * Writes the events so far.
   *
   * @param out receives one JSON event per line
   * @throws IOException if the events can't be written
   */
  public void write(Appendable out) throws IOException {
    for (HistoryEvent event : events()) {
      out.append(json(event)).append('\n');
    }
  }

  private static String json(HistoryEvent event) {
    try {
      return Mappers.json().writeValueAsString(event);
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException(e);
    }
  }
}
