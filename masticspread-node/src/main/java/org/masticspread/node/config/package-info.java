/** Configuration in force on this VM. */
package org.masticspread.node.config;
