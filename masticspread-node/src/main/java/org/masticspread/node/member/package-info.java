/** Members of the cell, their digests, and calls to shard owners. */
package org.masticspread.node.member;
