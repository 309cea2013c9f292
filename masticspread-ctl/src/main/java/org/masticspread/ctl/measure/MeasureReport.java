package org.masticspread.ctl.measure;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.lang.reflect.RecordComponent;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.masticspread.codec.Mappers;

/**
 * The result of a measure: rows of one record type, printed as a table or as JSON.
 *
 * <p>Example: {@code new MeasureReport<>("flood", 1, rows).toText()}.
 *
 * @param <R> the record type of a row; its components are the columns
 * @param measure the name of the measure
 * @param seed the seed of the run
 * @param rows the rows
 */
public record MeasureReport<R extends Record>(String measure, long seed, List<R> rows) {

  /** Copies the list. */
  public MeasureReport {
    rows = List.copyOf(rows);
  }

  /**
   * Returns the report as one JSON object with the fields measure, seed and rows.
   *
   * @return the JSON text
   */
  public String toJson() {
    try {
      return Mappers.json().writeValueAsString(this);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(
          "measure: a row of " + measure + " cannot be written as JSON", e);
    }
  }

  /**
   * Returns the report as a table with aligned columns.
   *
   * @return the lines of the table, each ending with a line feed
   */
  public String toText() {
    if (rows.isEmpty()) {
      return measure + ": no rows\n";
    }
    RecordComponent[] columns = rows.get(0).getClass().getRecordComponents();
    List<List<String>> lines = new ArrayList<>();
    lines.add(Arrays.stream(columns).map(RecordComponent::getName).toList());
    rows.forEach(row -> lines.add(cells(columns, row)));
    int[] widths =
        IntStream.range(0, columns.length)
            .map(
                column ->
                    lines.stream().mapToInt(line -> line.get(column).length()).max().orElse(0))
            .toArray();
    return lines.stream().map(line -> aligned(line, widths)).collect(Collectors.joining());
  }

  private static List<String> cells(RecordComponent[] columns, Record row) {
    return Arrays.stream(columns).map(column -> cell(column, row)).toList();
  }

  private static String cell(RecordComponent column, Record row) {
    try {
      column.getAccessor().setAccessible(true);
      Object value = column.getAccessor().invoke(row);
      return value instanceof Double number
          ? String.format(Locale.ROOT, "%.3f", number)
          : String.valueOf(value);
    } catch (ReflectiveOperationException e) {
      throw new IllegalStateException("measure: column " + column.getName() + " cannot be read", e);
    }
  }

  private static String aligned(List<String> line, int[] widths) {
    StringBuilder text = new StringBuilder();
    for (int column = 0; column < widths.length; column++) {
      text.append(String.format(Locale.ROOT, "%-" + (widths[column] + 2) + "s", line.get(column)));
    }
    return text.toString().stripTrailing() + "\n";
  }
}
