/** In-memory stand-ins for the platform, with scripted faults and an injected clock. */
package org.masticspread.platform.standin;
