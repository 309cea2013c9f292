/** Measures of requests: goodput during floods, and waiting with executors of different speeds. */
package org.masticspread.ctl.measure.request;
