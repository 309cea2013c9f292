/** Setup of a node and the embedded platform. */
package org.masticspread.node.launch;
