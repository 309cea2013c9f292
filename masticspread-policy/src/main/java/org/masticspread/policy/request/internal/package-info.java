/** The parts of the request scheduler; not for use outside of it. */
package org.masticspread.policy.request.internal;
