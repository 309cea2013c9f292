package org.masticspread.state.shard;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import org.apache.commons.codec.digest.DigestUtils;
import org.masticspread.model.work.RequestSpec;

/** Hash of the content of a request, to detect an id that is reused with different content. */
public final class Fingerprint {
  private Fingerprint() {}

  /**
   * Returns the fingerprint of the work class and the body of a request. The answer-by instant is
   * left out, so that a repeat may allow more time.
   *
   * @param request the request
   * @return the first 64 bits of the SHA-256 digest
   */
  public static long of(RequestSpec request) {
    MessageDigest digest = DigestUtils.getSha256Digest();
    digest.update(request.workClass().value().getBytes(StandardCharsets.UTF_8));
    digest.update((byte) 0);
    digest.update(request.body().bytes());
    return ByteBuffer.wrap(digest.digest()).getLong();
  }
}
