/** All-or-nothing starts of jobs over several racks. */
package org.masticspread.policy.gang;
