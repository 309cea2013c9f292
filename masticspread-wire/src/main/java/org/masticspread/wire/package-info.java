/** The inner protocol between VMs: connections, messages and their limits. */
package org.masticspread.wire;
