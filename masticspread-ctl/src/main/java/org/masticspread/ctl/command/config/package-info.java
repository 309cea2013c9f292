/** The commands on complete configurations in YAML files. */
package org.masticspread.ctl.command.config;
