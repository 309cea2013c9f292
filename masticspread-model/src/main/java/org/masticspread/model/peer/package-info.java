/** Messages between VMs and the port that carries them. */
package org.masticspread.model.peer;
