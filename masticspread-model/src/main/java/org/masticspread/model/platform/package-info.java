/** Ports to the platform: table service, object store, membership list, workers and endpoints. */
package org.masticspread.model.platform;
