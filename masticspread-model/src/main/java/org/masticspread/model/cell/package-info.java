/** What a scheduling cell is given: jobs in steps, queues and the state of a job. */
package org.masticspread.model.cell;
