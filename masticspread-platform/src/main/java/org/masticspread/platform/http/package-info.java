/** Adapters to the platform over HTTP, and a server that shares stand-ins between processes. */
package org.masticspread.platform.http;
