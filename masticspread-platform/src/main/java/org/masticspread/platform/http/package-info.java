/** HTTP adapters of the platform, and a server that shares stand-ins between processes. */
package org.masticspread.platform.http;
