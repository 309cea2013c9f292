/** The configuration of a scheduling cell, its jobs and their states. */
package org.masticspread.model.cell;
