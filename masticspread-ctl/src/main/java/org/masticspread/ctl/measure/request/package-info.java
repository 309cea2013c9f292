/** Measures of requests: what a flood leaves to other work, and waiting with unlike executors. */
package org.masticspread.ctl.measure.request;
