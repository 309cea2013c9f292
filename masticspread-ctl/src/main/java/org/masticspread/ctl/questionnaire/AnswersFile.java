package org.masticspread.ctl.questionnaire;

import com.fasterxml.jackson.core.JsonPointer;
import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashSet;
import java.util.Iterator;
import java.util.Map;
import java.util.Set;
import org.masticspread.codec.InputReader;
import org.masticspread.model.result.InvalidFieldException;

/**
 * An answer source that reads a YAML file. A wrong or missing answer, or a field that no question
 * asks for, is an error that names the field.
 *
 * <p>Not thread-safe.
 */
public final class AnswersFile implements AnswerSource {
  private final JsonNode tree;
  private final Set<String> asked = new HashSet<>();

  private AnswersFile(JsonNode tree) {
    this.tree = tree;
  }

  /**
   * Parses the text of an answers file.
   *
   * @param yaml the text in UTF-8
   * @return the answers
   * @throws InvalidFieldException if the text is malformed
   */
  public static AnswersFile of(byte[] yaml) throws InvalidFieldException {
    return new AnswersFile(InputReader.yaml().read(yaml, JsonNode.class));
  }

  @Override
  public String next(Question question) throws InvalidFieldException {
    if (!question.rejection().isEmpty()) {
      String given = text(question.field());
      throw new InvalidFieldException(question.field(), given, question.allowed());
    }
    if (question.asksForMore()) {
      return nodeAt(question.field()).isMissingNode() ? "no" : "yes";
    }
    asked.add(question.field());
    return text(question.field());
  }

  /**
   * Checks that some question asked for each field of the file.
   *
   * @throws InvalidFieldException if no question asked for a field
   */
  public void requireAllAsked() throws InvalidFieldException {
    requireAsked("", tree);
  }

  private void requireAsked(String path, JsonNode node) throws InvalidFieldException {
    if (node.isArray() && !node.isEmpty()) {
      for (int i = 0; i < node.size(); i++) {
        requireAsked(path + "[" + i + "]", node.get(i));
      }
      return;
    }
    if (!node.isObject() || (node.isEmpty() && !path.isEmpty())) {
      if (!asked.contains(path)) {
        throw new InvalidFieldException(
            path, node.asText(), "only fields that the other answers call for");
      }
      return;
    }
    Iterator<Map.Entry<String, JsonNode>> fields = node.fields();
    while (fields.hasNext()) {
      Map.Entry<String, JsonNode> field = fields.next();
      String prefix = path.isEmpty() ? "" : path + ".";
      requireAsked(prefix + field.getKey(), field.getValue());
    }
  }

  private String text(String field) {
    JsonNode node = nodeAt(field);
    return node.isValueNode() && !node.isNull() ? node.asText() : "";
  }

  private JsonNode nodeAt(String field) {
    return tree.at(
        JsonPointer.compile("/" + field.replace("].", "/").replace("[", "/").replace("]", "")));
  }
}
