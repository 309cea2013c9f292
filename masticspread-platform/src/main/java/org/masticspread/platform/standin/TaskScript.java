package org.masticspread.platform.standin;

import java.time.Duration;
import java.time.format.DateTimeParseException;
import org.masticspread.model.id.WorkerId;
import org.masticspread.model.platform.StartTask;
import org.masticspread.model.resource.ResourceVector;

/** Defines the behaviour of tasks. */
@FunctionalInterface
public interface TaskScript {
  /**
   * Interprets the command: {@code sleep:PT2S} succeeds after 2 s, {@code fail} and {@code
   * fail:PT2S} fail immediately or after 2 s, {@code fail-on:NAME} immediately fails on that worker
   * and succeeds elsewhere, {@code service} runs until it is stopped. A second word {@code
   * use:MILLICORES:BYTES:ACCELERATORS} sets the resource usage, which is the size of the task by
   * default. Any other command fails immediately.
   */
  TaskScript COMMAND = TaskScript::parse;

  /**
   * Returns the behaviour of a task.
   *
   * @param worker the worker that starts the task
   * @param start the start order
   * @return the behaviour
   */
  TaskPlan plan(WorkerId worker, StartTask start);

  private static TaskPlan parse(WorkerId worker, StartTask start) {
    String[] words = start.command().asText().strip().split(" +", -1);
    try {
      ResourceVector usage = words.length < 2 ? start.size() : usage(words[1]);
      return planOf(words[0], worker, usage);
    } catch (DateTimeParseException | IllegalArgumentException e) {
      return new TaskPlan(Duration.ZERO, false, ResourceVector.ZERO);
    }
  }

  private static TaskPlan planOf(String command, WorkerId worker, ResourceVector usage) {
    String name = command.replaceFirst(":.*", "");
    String argument = command.substring(Math.min(name.length() + 1, command.length()));
    return switch (name) {
      case "sleep" -> new TaskPlan(Duration.parse(argument), true, usage);
      case "service" -> new TaskPlan(null, true, usage);
      case "fail" -> new TaskPlan(durationOrZero(argument), false, usage);
      case "fail-on" -> new TaskPlan(Duration.ZERO, !worker.value().equals(argument), usage);
      default -> throw new IllegalArgumentException("command: '" + name + "' is not known");
    };
  }

  private static Duration durationOrZero(String text) {
    return text.isEmpty() ? Duration.ZERO : Duration.parse(text);
  }

  private static ResourceVector usage(String word) {
    String[] parts = word.split(":", -1);
    if (parts.length != 4 || !parts[0].equals("use")) {
      throw new IllegalArgumentException("use: '" + word + "' is not allowed");
    }
    return new ResourceVector(
        Long.parseLong(parts[1]), Long.parseLong(parts[2]), Integer.parseInt(parts[3]));
  }
}
