package org.masticspread.ctl.client;

/**
 * A complete HTTP response.
 *
 * @param status the HTTP status
 * @param body the body
 */
record HttpReply(int status, byte[] body) {
  private static final int FIRST_ERROR_STATUS = 300;

  boolean isError() {
    return status >= FIRST_ERROR_STATUS;
  }
}
