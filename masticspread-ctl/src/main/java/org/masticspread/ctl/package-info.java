/** The command line of operators and teams; {@link org.masticspread.ctl.CtlMain} is its entry. */
package org.masticspread.ctl;
