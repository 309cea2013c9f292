/** Result codes and checked exceptions. */
package org.masticspread.model.result;
