/** Flags and environment variables, checked. */
package org.masticspread.node.settings;
