/** Identifiers of the things that masticspread schedules and runs on. */
package org.masticspread.model.id;
