package org.masticspread.state.config;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.masticspread.codec.Mappers;
import org.masticspread.model.config.Configuration;

class ConfigValidatorTest {
  private static final String VALID =
      """
      {"revision": 1,
       "pools": [{"name": "p", "dataCentres": ["gori"], "retired": false}],
       "teams": [
         {"name": "t", "pool": "p", "weight": 1, "floor": 0.6, "retired": false},
         {"name": "u", "pool": "p", "weight": 2, "floor": 0.4, "retired": false}],
       "workClasses": [
         {"team": "t", "name": "c", "urgency": "URGENT", "idempotent": true, "floor": 1.0,
          "answerWithin": "PT2S", "expectedRatePerSecond": 0, "queueLimit": 10,
          "queueLimitBytes": 1000, "retired": false},
         {"team": "t", "name": "d", "urgency": "NORMAL", "idempotent": true, "floor": 0,
          "answerWithin": "PT9S", "expectedRatePerSecond": 1.5, "queueLimit": 10,
          "queueLimitBytes": 1000, "retired": false}],
       "endpoints": [
         {"name": "e", "pool": "p", "dataCentre": "gori", "address": "10.0.0.1:80", "slots": 8,
          "connections": 64, "state": "ACTIVE"},
         {"name": "f", "pool": "p", "dataCentre": "gori", "address": "http://host:80/x",
          "slots": 8, "connections": 64, "state": "ACTIVE"}],
       "workers": [
         {"name": "w", "pool": "p", "rack": "r", "dataCentre": "gori", "address": "[::1]:80",
          "capacity": {"millicores": 1, "memoryBytes": 1, "accelerators": 0}, "state": "ACTIVE"},
         {"name": "x", "pool": "p", "rack": "r", "dataCentre": "gori", "address": "w:80",
          "capacity": {"millicores": 1, "memoryBytes": 1, "accelerators": 0}, "state": "ACTIVE"}]}
      """;

  private static JsonNode valid() throws Exception {
    return Mappers.json().readTree(VALID);
  }

  private static Configuration read(JsonNode json) throws Exception {
    return Mappers.json().treeToValue(json, Configuration.class);
  }

  @Nested
  class Validate {
    @Test
    void should_be_empty_for_a_valid_configuration() throws Exception {
      // GIVEN // WHEN // THEN
      assertThat(ConfigValidator.validate(read(valid()))).isEmpty();
      assertThat(ConfigValidator.validate(Configuration.EMPTY)).isEmpty();
    }

    @ParameterizedTest
    @CsvSource(
        quoteCharacter = '`',
        value = {
          "pools, 0, dataCentres, [], pools[0].dataCentres, at least one",
          "pools, 0, retired, true, teams[0].pool, is retired",
          "teams, 1, name, \"t\", teams[1].name, t is there twice",
          "teams, 1, pool, \"q\", teams[1].pool, there is no pool q",
          "teams, 0, weight, 0, teams[0].weight, from 1 to",
          "teams, 0, floor, -0.1, teams[0].floor, from 0 to 1",
          "teams, 1, floor, 0.41, teams[1].floor, add up to more than 1",
          "teams, 0, retired, true, workClasses[0].team, team t is retired",
          "workClasses, 0, team, \"v\", workClasses[0].team, there is no team v",
          "workClasses, 1, name, \"c\", workClasses[1].name, is there twice",
          "workClasses, 1, floor, 0.1, workClasses[1].floor, add up to more than 1",
          "workClasses, 0, floor, 2, workClasses[0].floor, from 0 to 1",
          "workClasses, 0, urgency, null, workClasses[0].urgency, is missing",
          "workClasses, 0, answerWithin, \"PT0S\", workClasses[0].answerWithin, longer than zero",
          "workClasses, 0, answerWithin, null, workClasses[0].answerWithin, longer than zero",
          "workClasses, 0, expectedRatePerSecond, -1, workClasses[0].expectedRatePerSecond, zero",
          "workClasses, 0, queueLimit, 0, workClasses[0].queueLimit, at least 1",
          "workClasses, 0, queueLimitBytes, 0, workClasses[0].queueLimitBytes, at least 1",
          "endpoints, 1, name, \"e\", endpoints[1].name, e is there twice",
          "endpoints, 0, slots, 0, endpoints[0].slots, at least 1",
          "endpoints, 0, connections, 0, endpoints[0].connections, at least 1",
          "endpoints, 0, address, \"host\", endpoints[0].address, host:port",
          "endpoints, 0, address, \"host:70000\", endpoints[0].address, host:port",
          "endpoints, 0, address, null, endpoints[0].address, host:port",
          "endpoints, 0, dataCentre, \"x\", endpoints[0].dataCentre, is not in data centre x",
          "endpoints, 0, state, null, endpoints[0].state, is missing",
          "workers, 0, pool, \"q\", workers[0].pool, there is no pool q",
          "workers, 0, rack, null, workers[0].rack, is missing",
          "workers, 0, capacity, null, workers[0].capacity, processors and memory"
        })
    void should_report_the_field_and_the_rule(
        String section, int index, String field, String value, String path, String message)
        throws Exception {
      // GIVEN
      JsonNode json = valid();
      ObjectNode item = (ObjectNode) ((ArrayNode) json.get(section)).get(index);
      item.set(field, Mappers.json().readTree(value));
      // WHEN // THEN
      assertThat(ConfigValidator.validate(read(json)))
          .anySatisfy(
              problem -> {
                assertThat(problem.field()).isEqualTo(path);
                assertThat(problem.message()).contains(message);
              });
    }

    @Test
    void should_reject_a_rack_in_two_data_centres() throws Exception {
      // GIVEN
      JsonNode json = valid();
      ((ArrayNode) json.at("/pools/0/dataCentres")).add("tbilisi");
      ((ObjectNode) json.at("/workers/1")).put("dataCentre", "tbilisi");
      // WHEN // THEN
      assertThat(ConfigValidator.validate(read(json)))
          .containsExactly(
              new ConfigProblem("workers[1].dataCentre", "rack r is in data centre gori"));
    }
  }
}
