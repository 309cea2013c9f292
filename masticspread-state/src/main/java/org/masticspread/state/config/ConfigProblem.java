package org.masticspread.state.config;

/**
 * A fault in a configuration.
 *
 * @param field the path of the field, such as {@code teams[2].weight}
 * @param message what is wrong and what is allowed
 */
public record ConfigProblem(String field, String message) {}
