/** Detection of jobs and workers that always fail. */
package org.masticspread.policy.health;
