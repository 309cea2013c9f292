/** Internal parts of the mappings that are not part of the API of this module. */
package org.masticspread.codec.internal;
