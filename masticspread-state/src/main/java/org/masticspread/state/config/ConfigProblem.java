package org.masticspread.state.config;

/**
 * A validation error of a configuration.
 *
 * @param field the path of the field, such as {@code teams[2].weight}
 * @param message what is wrong or what is allowed
 */
public record ConfigProblem(String field, String message) {}
