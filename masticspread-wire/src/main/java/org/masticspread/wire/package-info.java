/** The peer protocol between VMs: connections, messages and limits. */
package org.masticspread.wire;
