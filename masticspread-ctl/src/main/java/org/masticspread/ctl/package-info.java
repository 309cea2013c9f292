/** The command line of operators and teams; its entry point is {@link CtlMain}. */
package org.masticspread.ctl;
