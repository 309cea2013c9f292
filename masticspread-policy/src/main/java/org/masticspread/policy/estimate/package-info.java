/** Sizes and run times learned from usage reports. */
package org.masticspread.policy.estimate;
