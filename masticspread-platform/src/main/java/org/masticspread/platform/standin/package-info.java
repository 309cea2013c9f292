/** Stand-ins for the platform that run in memory, with scripted faults and a passed clock. */
package org.masticspread.platform.standin;
