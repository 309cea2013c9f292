package org.masticspread.model.peer;

/**
 * Asks a VM for the decisions it made about a subject. Answered by {@link Explained}.
 *
 * @param subject {@code job:TEAM/JOB} or {@code request:TEAM/REQUEST}
 */
public record Explain(String subject) implements PeerMessage {}
