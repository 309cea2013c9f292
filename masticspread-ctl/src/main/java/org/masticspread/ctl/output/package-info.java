/** Output as tables, YAML and JSON, for people and programs. */
package org.masticspread.ctl.output;
