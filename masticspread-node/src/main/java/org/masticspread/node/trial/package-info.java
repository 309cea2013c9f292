/** Trials: the complete nodes of a cell in one thread on virtual time, with scripted faults. */
package org.masticspread.node.trial;
