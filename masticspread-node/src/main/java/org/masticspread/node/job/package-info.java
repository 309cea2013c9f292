/** Work-shard owners and the scheduling of their jobs. */
package org.masticspread.node.job;
