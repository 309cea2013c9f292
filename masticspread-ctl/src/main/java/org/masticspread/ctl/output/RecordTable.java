package org.masticspread.ctl.output;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintWriter;
import java.lang.reflect.RecordComponent;
import java.math.BigDecimal;
import java.math.MathContext;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import org.masticspread.codec.Mappers;

/** Prints records as a table with a column for each record component. */
public final class RecordTable {
  private static final String NONE = "(none)";
  private static final int DIGITS = 4;

  private RecordTable() {}

  /**
   * Prints records.
   *
   * @param out the destination
   * @param records the records, all of the same type
   */
  public static void print(PrintWriter out, List<?> records) {
    if (records.isEmpty()) {
      out.println(NONE);
      return;
    }
    List<String> fields =
        Arrays.stream(records.get(0).getClass().getRecordComponents())
            .map(RecordComponent::getName)
            .toList();
    Table table = Table.of(fields.stream().map(RecordTable::columnTitle).toArray(String[]::new));
    for (Object entry : records) {
      JsonNode tree = Mappers.json().valueToTree(entry);
      table.row(fields.stream().map(f -> cellText(tree.get(f))).toArray());
    }
    table.print(out);
  }

  private static String columnTitle(String field) {
    return field.replaceAll("([A-Z])", " $1").toUpperCase(Locale.ROOT);
  }

  private static String cellText(JsonNode value) {
    if (value == null) {
      return null;
    }
    if (value.isDouble()) {
      return shortNumber(value.decimalValue());
    }
    return value.isValueNode() ? value.asText() : value.toString().replace("\"", "");
  }

  private static String shortNumber(BigDecimal number) {
    return number.round(new MathContext(DIGITS)).stripTrailingZeros().toPlainString();
  }
}
