package org.masticspread.model.peer;

/**
 * Asks a VM for its decisions about a subject. Answered by {@link Explained}.
 *
 * @param subject {@code job:TEAM/JOB} or {@code request:TEAM/REQUEST}
 */
public record Explain(String subject) implements PeerMessage {}
