/** Resource vectors. */
package org.masticspread.model.resource;
