/** Messages between VMs and the port that sends them. */
package org.masticspread.model.peer;
