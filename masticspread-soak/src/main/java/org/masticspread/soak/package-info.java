/**
 * A fault-injection soak test, which runs VMs as processes, injects faults from outside and checks
 * the guarantees to callers.
 */
package org.masticspread.soak;
