/** Requests: routing, at-most-once execution and endpoint homes. */
package org.masticspread.node.request;
