/** Helpers of this module that are no part of its interface. */
package org.masticspread.state.internal;
