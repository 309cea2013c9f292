/** The commands on whole configurations in YAML files. */
package org.masticspread.ctl.command.config;
