/** The configuration in force. */
package org.masticspread.node.config;
