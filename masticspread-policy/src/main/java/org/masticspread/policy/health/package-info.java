/** Detection of jobs and workers with repeated failures. */
package org.masticspread.policy.health;
