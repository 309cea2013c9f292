/** Internal helpers that are not part of the API of this module. */
package org.masticspread.state.internal;
