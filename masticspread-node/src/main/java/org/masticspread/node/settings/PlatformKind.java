package org.masticspread.node.settings;

/** Where the platform is. */
public enum PlatformKind {
  /** Stand-ins in this process. */
  EMBEDDED,
  /** The platform at a URL. */
  HTTP
}
