/** Pure operations on the cell configuration: kinds of entries, comparison, merge, files. */
package org.masticspread.ctl.config;
