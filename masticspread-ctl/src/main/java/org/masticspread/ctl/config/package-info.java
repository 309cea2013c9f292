/** Configuration files of a cell, and operations without side effects to compare and merge them. */
package org.masticspread.ctl.config;
