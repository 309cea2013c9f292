/** Jobs that wait: shares, quotas, deadlines and the choice of a rack. */
package org.masticspread.policy.jobs;
