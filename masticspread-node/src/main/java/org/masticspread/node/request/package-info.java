/** Requests: gate, at-most-once records and endpoint homes. */
package org.masticspread.node.request;
