/** Graceful stop. */
package org.masticspread.node.stop;
