package org.masticspread.platform.http;

import java.io.IOException;
import org.masticspread.model.platform.ConditionFailedException;
import org.masticspread.model.platform.StoreException;
import org.masticspread.model.platform.StoreException.Effect;

/** Calls a store or the membership list and maps failures to its exceptions. Thread-safe. */
final class StoreClient implements AutoCloseable {
  private static final int MAX_CONNECTIONS = 64;

  private final String address;
  private final HttpCallerRegistry callers;

  StoreClient(String address, HttpSettings settings) {
    this.address = address;
    this.callers = new HttpCallerRegistry(settings);
  }

  <T> T call(String path, Object body, Class<T> type) throws StoreException {
    try {
      return callConditional(path, body, type);
    } catch (ConditionFailedException e) {
      throw new StoreException(Effect.NONE, path + ": unexpected refusal", e);
    }
  }

  <T> T callConditional(String path, Object body, Class<T> type)
      throws StoreException, ConditionFailedException {
    HttpCaller caller = callers.callerFor(address, MAX_CONNECTIONS);
    HttpResult result = caller.execute(HttpCallerRegistry.url(address, path), Protocol.write(body));
    if (!result.isAnswered()) {
      Effect effect = result.kind() == HttpResult.Kind.NOT_SENT ? Effect.NONE : Effect.UNKNOWN;
      throw new StoreException(effect, path + ": " + result.detail(), null);
    }
    try {
      return read(path, result, type);
    } catch (IOException | IllegalArgumentException e) {
      throw new StoreException(Effect.UNKNOWN, path + ": the answer cannot be read", e);
    }
  }

  @Override
  public void close() {
    callers.close();
  }

  private static <T> T read(String path, HttpResult result, Class<T> type)
      throws IOException, StoreException, ConditionFailedException {
    if (result.outcome().equals(Protocol.OK)) {
      return Protocol.read(result.body(), type);
    }
    if (!result.outcome().equals(Protocol.REFUSED)) {
      throw new StoreException(Effect.UNKNOWN, path + ": error", null);
    }
    Protocol.Refusal refusal = Protocol.read(result.body(), Protocol.Refusal.class);
    switch (refusal.kind()) {
      case Protocol.Refusal.CONDITION:
        throw new ConditionFailedException(refusal.value());
      case Protocol.Refusal.EFFECT:
        throw new StoreException(Effect.valueOf(refusal.value()), refusal.detail(), null);
      case Protocol.Refusal.INPUT:
        throw new StoreException(Effect.NONE, path + ": " + refusal.detail(), null);
      default:
        throw new StoreException(Effect.UNKNOWN, path + ": " + refusal.detail(), null);
    }
  }
}
