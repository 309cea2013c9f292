/** Requests, jobs and tasks. */
package org.masticspread.model.work;
