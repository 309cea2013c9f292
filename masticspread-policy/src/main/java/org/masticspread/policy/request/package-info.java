/** Admission, fair shares and routing of requests at the home of their endpoints. */
package org.masticspread.policy.request;
