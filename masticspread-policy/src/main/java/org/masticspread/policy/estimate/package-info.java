/** Estimates of task sizes and run times, based on usage reports. */
package org.masticspread.policy.estimate;
