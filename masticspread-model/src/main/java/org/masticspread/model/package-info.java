/** Records, identifiers, exceptions and ports shared by all modules. */
package org.masticspread.model;
