/** Placement of tasks on the workers of a rack. */
package org.masticspread.policy.placement;
