package org.masticspread.node.api;

import java.time.Duration;
import org.masticspread.model.id.JobKey;
import org.masticspread.model.peer.JobAnswered;
import org.masticspread.model.result.InvalidFieldException;
import org.masticspread.model.result.MasticspreadException;
import org.masticspread.model.result.ResultCode;
import org.masticspread.model.result.RunState;
import org.masticspread.model.work.Answer;
import org.masticspread.model.work.JobView;

/**
 * Body of an answer to a caller.
 *
 * @param code the number of the result code
 * @param name the name of the result code
 * @param runState whether the work ran
 * @param team the team; null if not known
 * @param id the id of the request or job; null if not known
 * @param body the answer of the endpoint; null if there is none
 * @param detail a short explanation
 * @param retryAfterMs how long to wait before a retry, in milliseconds; null if not given
 * @param field the invalid field; null if none
 * @param job the job; null if there is none
 */
record ResultBody(
    int code,
    String name,
    RunState runState,
    String team,
    String id,
    String body,
    String detail,
    Long retryAfterMs,
    String field,
    JobView job) {
  static ResultBody of(Answer answer) {
    return new ResultBody(
        answer.code().number(),
        answer.code().name(),
        answer.code().runState(),
        answer.key().team().value(),
        answer.key().request().value(),
        answer.body().sizeBytes() == 0 ? null : answer.body().asText(),
        answer.detail(),
        millis(answer.retryAfter()),
        null,
        null);
  }

  static ResultBody of(JobKey key, JobAnswered answered) {
    return new ResultBody(
        answered.code().number(),
        answered.code().name(),
        answered.code().runState(),
        key.team().value(),
        key.job().value(),
        null,
        answered.detail(),
        null,
        null,
        answered.job());
  }

  static ResultBody of(MasticspreadException e) {
    String field = e instanceof InvalidFieldException invalid ? invalid.field() : null;
    return of(e.code(), e.getMessage(), field);
  }

  static ResultBody of(ResultCode code, String detail, String field) {
    return new ResultBody(
        code.number(), code.name(), code.runState(), null, null, null, detail, null, field, null);
  }

  ResultCode resultCode() {
    return ResultCode.ofNumber(code);
  }

  private static Long millis(Duration retryAfter) {
    return retryAfter.isZero() ? null : Math.max(1, retryAfter.toMillis());
  }
}
