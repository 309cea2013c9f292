package org.masticspread.node.settings;

/** Location of the platform. */
public enum PlatformKind {
  /** Stand-ins in this process. */
  EMBEDDED,
  /** The platform at a URL. */
  HTTP
}
