package org.masticspread.cell.journal;

import org.masticspread.model.cell.JobState;

/**
 * What is kept of a job that has ended, in place of its order and progress: a new leader has to
 * read little, however many jobs have ended.
 *
 * @param state how it ended
 */
public record EndedRecord(JobState state) {}
