package org.masticspread.policy.request.internal;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.masticspread.model.config.Configuration;
import org.masticspread.model.config.TeamConfig;
import org.masticspread.model.config.WorkClassConfig;
import org.masticspread.model.id.ClassKey;
import org.masticspread.model.id.PoolId;
import org.masticspread.model.id.TeamId;

/** The teams and work classes of a pool, and the slots their floors and shares amount to. */
final class Shares {
  private final Map<TeamId, TeamAccount> teams = new HashMap<>();
  private final Map<ClassKey, ClassQueue> classes = new HashMap<>();

  ClassQueue find(ClassKey key) {
    return classes.get(key);
  }

  Collection<ClassQueue> classes() {
    return classes.values();
  }

  Collection<TeamAccount> teams() {
    return teams.values();
  }

  /** Applies a configuration and returns the queues of classes that no longer exist. */
  List<ClassQueue> configure(Configuration configuration, PoolId pool) {
    final Map<ClassKey, ClassQueue> before = new HashMap<>(classes);
    classes.clear();
    teams.values().forEach(team -> team.classes.clear());
    for (TeamConfig config : configuration.teams()) {
      if (config.pool().equals(pool) && !config.retired()) {
        teams.computeIfAbsent(config.name(), name -> new TeamAccount(config)).config = config;
      } else {
        teams.remove(config.name());
      }
    }
    for (WorkClassConfig config : configuration.workClasses()) {
      TeamAccount team = teams.get(config.team());
      if (team == null || config.retired()) {
        continue;
      }
      ClassQueue old = before.remove(config.key());
      ClassQueue queue = old == null || old.team != team ? new ClassQueue(team, config) : old;
      queue.config = config;
      team.classes.add(queue);
      classes.put(config.key(), queue);
    }
    teams.values().removeIf(team -> team.classes.isEmpty());
    return new ArrayList<>(before.values());
  }

  /** Distributes the slots of the pool over teams and classes. */
  void distribute(int slots) {
    double floors = teams.values().stream().mapToDouble(team -> team.config.floor()).sum();
    double weights = teams.values().stream().mapToDouble(team -> weight(team)).sum();
    double spareSlots = Math.max(0, 1 - floors) * slots;
    double scale = floors > 1 ? 1 / floors : 1;
    for (TeamAccount team : teams.values()) {
      team.floorSlots = team.config.floor() * scale * slots;
      team.shareSlots = team.floorSlots + spareSlots * weight(team) / weights;
      team.floorTag = resetTag(team.floorTag, team.floorSlots);
      team.shareTag = resetTag(team.shareTag, team.shareSlots);
      double classFloors = team.classes.stream().mapToDouble(queue -> queue.config.floor()).sum();
      for (ClassQueue queue : team.classes) {
        queue.floorSlots = team.floorSlots * queue.config.floor() / Math.max(1, classFloors);
        queue.floorTag = resetTag(queue.floorTag, queue.floorSlots);
        queue.reservedTag = resetTag(queue.reservedTag, queue.floorSlots);
      }
    }
  }

  private static double weight(TeamAccount team) {
    return Math.max(1, team.config.weight());
  }

  private static long resetTag(long tag, double slots) {
    if (slots <= 0) {
      return Times.NEVER;
    }
    return tag >= Times.NEVER ? 0 : tag;
  }
}
