/** Live VMs, digests and the way to shard owners. */
package org.masticspread.node.member;
