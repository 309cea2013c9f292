/** Jackson mappings of the model to JSON, YAML and MessagePack. */
package org.masticspread.codec;
