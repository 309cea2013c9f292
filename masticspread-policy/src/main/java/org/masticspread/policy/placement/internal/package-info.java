/** State behind the rack ledger; not for other packages. */
package org.masticspread.policy.placement.internal;
