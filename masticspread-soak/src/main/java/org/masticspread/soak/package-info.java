/**
 * A fault soak: the real programs as processes, faults from outside, and checks of the promises.
 */
package org.masticspread.soak;
