/** Admission control, fair sharing and routing of requests at the home VM of their endpoints. */
package org.masticspread.policy.request;
