/** Scheduling of waiting jobs by share, quota and deadline, and the choice of a rack. */
package org.masticspread.policy.jobs;
