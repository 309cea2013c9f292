/** Jobs: work-shard owners and their scheduling. */
package org.masticspread.node.job;
