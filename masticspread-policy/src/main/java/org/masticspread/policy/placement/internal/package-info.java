/** Internal state of the rack ledger; not for use by other packages. */
package org.masticspread.policy.placement.internal;
