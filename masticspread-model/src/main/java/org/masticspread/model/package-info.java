/** Records, identifiers, errors and ports shared by every module. */
package org.masticspread.model;
