/** The commands that create, list, show, change and retire entries of the configuration. */
package org.masticspread.ctl.command.entity;
