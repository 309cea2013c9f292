/** Keys, formats and checksums of all records in the stores of the platform. */
package org.masticspread.state.format;
