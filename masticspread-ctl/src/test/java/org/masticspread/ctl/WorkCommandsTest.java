package org.masticspread.ctl;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.masticspread.ctl.FakeNode.Reply;
import org.masticspread.ctl.client.JobList;
import org.masticspread.ctl.client.Result;
import org.masticspread.ctl.command.ExitCode;
import org.masticspread.model.id.JobId;
import org.masticspread.model.id.JobKey;
import org.masticspread.model.id.TeamId;
import org.masticspread.model.id.WorkClassId;
import org.masticspread.model.resource.ResourceVector;
import org.masticspread.model.result.ResultCode;
import org.masticspread.model.result.RunState;
import org.masticspread.model.work.JobKind;
import org.masticspread.model.work.JobPhase;
import org.masticspread.model.work.JobSpec;
import org.masticspread.model.work.JobView;
import org.masticspread.model.work.Payload;
import org.masticspread.model.work.TaskPhase;
import org.masticspread.model.work.TaskView;
import org.masticspread.model.work.Urgency;

class WorkCommandsTest {
  private static final String REQUEST =
      "request --team t --work-class c --request-id r --token secret-1 hello";
  private static final String POST = "POST /v1/requests";
  private FakeNode node;

  @BeforeEach
  void start() throws Exception {
    node = new FakeNode();
  }

  @AfterEach
  void stop() {
    node.close();
  }

  private static Reply result(ResultCode code, Long retryAfterMs, String id) throws Exception {
    Result result =
        new Result(
            code.number(),
            code.name(),
            code.runState(),
            "t",
            id,
            "whole",
            "",
            retryAfterMs,
            null,
            null);
    return Reply.of(code.httpStatus(), result);
  }

  private static JobView job(JobPhase phase) {
    JobSpec spec =
        new JobSpec(
            new JobKey(TeamId.of("t"), JobId.of("j")),
            WorkClassId.of("c"),
            JobKind.BATCH,
            Urgency.NORMAL,
            1,
            ResourceVector.ZERO,
            Duration.ZERO,
            null,
            true,
            1,
            Payload.EMPTY);
    TaskView task = new TaskView(0, TaskPhase.RUNNING, 1, null, "placed");
    return new JobView(spec, phase, CtlRun.START, List.of(task), "as told");
  }

  @Nested
  class Answers {
    @Test
    void should_print_the_complete_answer_and_send_the_token() throws Exception {
      // GIVEN
      node.reply(POST, result(ResultCode.OK, null, "r"));
      // WHEN
      CtlRun run = CtlRun.at(node, REQUEST);
      // THEN
      assertThat(run.exit()).isZero();
      assertThat(run.out()).isEqualToIgnoringNewLines("whole");
      assertThat(run.err()).contains("ran").doesNotContain("secret-1");
      assertThat(node.calls.get(0).authorization()).isEqualTo("Bearer secret-1");
      assertThat(node.calls.get(0).body().get("body").asText()).isEqualTo("hello");
    }

    @ParameterizedTest
    @EnumSource(ResultCode.class)
    void should_end_with_the_exit_code_of_the_result(ResultCode code) throws Exception {
      // GIVEN
      node.reply(POST, result(code, null, "r"));
      // WHEN
      CtlRun run = CtlRun.at(node, REQUEST + " --json --retries 0");
      // THEN
      assertThat(run.exit()).isEqualTo(ExitCode.of(code).number());
      assertThat(run.out()).contains("\"code\" : " + code.number());
    }

    @ParameterizedTest
    @EnumSource(ResultCode.class)
    void should_retry_only_what_did_not_run_and_under_the_same_id(ResultCode code)
        throws Exception {
      // GIVEN
      boolean retried = code.runState() == RunState.NOT_RUN && code.isRetryable();
      node.reply(POST, result(code, 700L, "r")).reply(POST, result(ResultCode.OK, null, "r"));
      // WHEN
      CtlRun run = CtlRun.at(node, REQUEST);
      // THEN
      assertThat(node.calls).hasSize(retried ? 2 : 1);
      assertThat(node.calls).extracting(c -> c.body().get("request").asText()).containsOnly("r");
      assertThat(run.pauses()).hasSize(retried ? 1 : 0).allMatch(Duration.ofMillis(700)::equals);
    }

    @Test
    void should_use_one_generated_id_for_all_retries() throws Exception {
      // GIVEN
      node.reply(POST, Reply.of(ResultCode.QUEUE_FULL, null, null));
      // WHEN
      CtlRun run = CtlRun.at(node, "request --team t --work-class c --retries 2");
      // THEN
      assertThat(run.exit()).isEqualTo(ExitCode.NOT_RUN.number());
      assertThat(node.calls).hasSize(3);
      assertThat(node.calls.stream().map(c -> c.body().get("request").asText()).distinct())
          .hasSize(1);
    }

    @Test
    void should_start_no_retry_after_the_answer_time() throws Exception {
      // GIVEN
      node.reply(POST, result(ResultCode.OVERLOADED, 5000L, "r"));
      // WHEN
      CtlRun run = CtlRun.at(node, REQUEST + " --answer-within 3s");
      // THEN
      assertThat(run.exit()).isEqualTo(ExitCode.NOT_RUN.number());
      assertThat(run.pauses()).isEmpty();
    }
  }

  @Nested
  class UnclearAnswers {
    @ParameterizedTest
    @CsvSource({"LOST", "CUT", "FOREIGN", "HTML", "NEW_CODE"})
    void should_be_reported_as_unknown_and_not_retried(String kind) throws Exception {
      // GIVEN
      Reply whole = result(ResultCode.OK, null, "r");
      node.reply(
          POST,
          switch (kind) {
            case "LOST" -> Reply.LOST;
            case "CUT" -> new Reply(200, whole.body(), whole.body().length + 1);
            case "FOREIGN" -> result(ResultCode.OK, null, "other");
            case "HTML" -> Reply.of(502, "<html>bad gateway</html>");
            default -> Reply.of(503, "{\"code\":999,\"name\":\"NEW\",\"runState\":\"NOT_RUN\"}");
          });
      // WHEN
      CtlRun run = CtlRun.at(node, REQUEST);
      // THEN
      assertThat(run.exit()).as(run.err()).isEqualTo(ExitCode.UNKNOWN.number());
      assertThat(run.err()).contains("may have run");
      assertThat(node.calls).hasSize(1);
    }
  }

  @Nested
  class SeveralNodes {
    private String closedUrl() throws Exception {
      try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
        return "http://127.0.0.1:" + socket.getLocalPort();
      }
    }

    @Test
    void should_try_the_next_node_when_one_refuses_the_connection() throws Exception {
      // GIVEN
      node.reply(POST, result(ResultCode.OK, null, "r"));
      // WHEN
      CtlRun run = CtlRun.at(node, REQUEST + " --url " + closedUrl() + "," + node.url());
      // THEN
      assertThat(run.exit()).as(run.err()).isZero();
    }

    @Test
    void should_not_try_the_next_node_once_part_of_the_call_was_sent() throws Exception {
      // GIVEN
      node.reply(POST, Reply.LOST);
      try (FakeNode next = new FakeNode()) {
        // WHEN
        CtlRun run = CtlRun.at(node, REQUEST + " --url " + node.url() + "," + next.url());
        // THEN
        assertThat(run.exit()).isEqualTo(ExitCode.UNKNOWN.number());
        assertThat(next.calls).isEmpty();
      }
    }

    @Test
    void should_report_not_run_when_no_node_is_reachable() throws Exception {
      // WHEN
      CtlRun run = CtlRun.at(node, REQUEST + " --retries 0 --url " + closedUrl());
      // THEN
      assertThat(run.exit()).isEqualTo(ExitCode.UNREACHABLE.number());
      assertThat(run.err()).contains("206 CONNECT_FAILED, not run");
    }
  }

  @Nested
  class Jobs {
    @Test
    void should_send_each_field() throws Exception {
      // GIVEN
      node.reply("POST /v1/jobs", Reply.of(ResultCode.ACCEPTED, "t", "j"));
      String line =
          "job submit --team t --work-class c --job-id j --kind gang --tasks 3 --millicores 500"
              + " --memory 2GiB --accelerators 1 --run-time 10m --deadline 2026-12-05T10:00:00Z"
              + " --idempotent true --max-attempts 2 --accept-within 5s run";
      // WHEN
      CtlRun run = CtlRun.at(node, line);
      // THEN
      assertThat(run.exit()).as(run.err()).isZero();
      assertThat(run.err()).contains("will run");
      assertThat(node.calls.get(0).body())
          .hasToString(
              "{\"team\":\"t\",\"job\":\"j\",\"workClass\":\"c\",\"kind\":\"GANG\",\"tasks\":3,"
                  + "\"perTask\":{\"millicores\":500,\"memoryBytes\":2147483648,"
                  + "\"accelerators\":1},\"declaredRunTime\":\"PT10M\","
                  + "\"deadline\":\"2026-12-05T10:00:00Z\",\"idempotent\":true,"
                  + "\"maxAttempts\":2,\"command\":\"run\",\"acceptWithin\":\"PT5S\"}");
    }

    @Test
    void should_wait_until_a_job_ends() throws Exception {
      // GIVEN
      String get = "GET /v1/jobs/t/j";
      node.reply(get, Reply.of(200, job(JobPhase.RUNNING)));
      node.reply(get, Reply.of(200, job(JobPhase.FAILED)));
      // WHEN
      CtlRun run = CtlRun.at(node, "job show t/j --wait 1m");
      // THEN
      assertThat(run.exit()).isEqualTo(ExitCode.FAILED.number());
      assertThat(run.out()).contains("t/j: FAILED, as told").contains("placed");
      assertThat(run.pauses()).hasSize(1);
    }

    @Test
    void should_list_and_cancel() throws Exception {
      // GIVEN
      node.reply(
          "GET /v1/jobs?team=t&limit=100",
          Reply.of(200, new JobList(List.of(job(JobPhase.PARKED)))));
      node.reply("DELETE /v1/jobs/t/j", Reply.of(ResultCode.CANCELLED, "t", "j"));
      // WHEN
      CtlRun list = CtlRun.at(node, "job list --team t");
      CtlRun cancel = CtlRun.at(node, "job cancel t/j --json");
      // THEN
      assertThat(list.out()).contains("PARKED").contains("as told").contains("1/1");
      assertThat(cancel.out()).contains("\"CANCELLED\"");
      assertThat(cancel.exit()).isZero();
    }
  }
}
