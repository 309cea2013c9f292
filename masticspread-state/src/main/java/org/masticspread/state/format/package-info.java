/** Keys, formats and checksums of everything that is kept in the platform's stores. */
package org.masticspread.state.format;
