/** Graceful stop of a node. */
package org.masticspread.node.stop;
