/** The cell configuration and its audit entries. */
package org.masticspread.model.config;
