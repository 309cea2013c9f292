/** Identifiers of jobs, requests, workers, endpoints and other entities of masticspread. */
package org.masticspread.model.id;
