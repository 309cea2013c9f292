/** Flags and environment variables, with their validation. */
package org.masticspread.node.settings;
