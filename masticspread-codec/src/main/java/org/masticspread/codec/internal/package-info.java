/** Parts of the mappings that other modules do not use. */
package org.masticspread.codec.internal;
