package org.masticspread.state.ownership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticspread.model.id.ShardId;
import org.masticspread.model.id.VmId;
import org.masticspread.state.testing.Samples;
import org.masticspread.state.testing.TestCluster;
import org.masticspread.state.testing.TestVm;

class ShardMapTest {
  private static final ShardMap MAP = new ShardMap(ShardMap.DEFAULT_WORK_SHARDS);

  private static List<VmId> vms(int count) {
    return IntStream.range(0, count).mapToObj(i -> VmId.of("vm-" + i)).toList();
  }

  private static Map<ShardId, VmId> owners(List<VmId> vms) {
    Map<ShardId, VmId> owners = new HashMap<>();
    MAP.workShards().forEach(shard -> owners.put(shard, MAP.owner(shard, vms).orElseThrow()));
    return owners;
  }

  @Nested
  @Group
  class Owner {
    @Property(seed = "5")
    void should_move_only_the_shards_of_a_removed_vm(
        @ForAll @IntRange(min = 2, max = 18) int count,
        @ForAll @IntRange(max = 17) int removedIndex) {
      // GIVEN
      List<VmId> all = vms(count);
      List<VmId> remaining = new ArrayList<>(all);
      VmId removed = remaining.remove(removedIndex % count);
      Map<ShardId, VmId> before = owners(all);
      // WHEN
      Map<ShardId, VmId> after = owners(remaining);
      // THEN
      before.forEach(
          (shard, owner) -> {
            if (!owner.equals(removed)) {
              assertThat(after.get(shard)).isEqualTo(owner);
            }
          });
    }

    @Test
    void should_be_empty_without_vms() {
      // GIVEN // WHEN // THEN
      assertThat(MAP.owner(ShardId.work(1), List.of())).isEmpty();
    }
  }

  @Nested
  class WorkShard {
    @Test
    void should_spread_keys_over_all_shards_and_never_change() {
      // GIVEN // WHEN
      long used =
          IntStream.range(0, 2_000)
              .mapToObj(i -> MAP.workShard(Samples.jobKey("job-" + i)))
              .distinct()
              .count();
      // THEN
      assertThat(used).isEqualTo(ShardMap.DEFAULT_WORK_SHARDS);
      assertThat(MAP.workShard(Samples.jobKey("job-1"))).isEqualTo(ShardId.work(50));
      assertThat(MAP.workShard(Samples.requestKey("r-1"))).isEqualTo(ShardId.work(55));
    }
  }

  @Nested
  class Idle {
    @Test
    void should_read_the_shard_rows_in_few_ticks() {
      // GIVEN
      TestCluster cluster = new TestCluster();
      cluster.start("vm-a");
      cluster.start("vm-b");
      cluster.run(20);
      long scans = cluster.table().scans();
      long commits = cluster.table().commits();
      // WHEN
      cluster.run(100);
      // THEN
      assertThat(cluster.table().scans() - scans).isLessThanOrEqualTo(2 * (100 + 10));
      assertThat(cluster.table().commits() - commits).isEqualTo(2 * 100);
    }
  }

  @Nested
  class Rebalance {
    @Test
    void should_raise_the_epoch_of_moved_shards_only() {
      // GIVEN
      TestCluster cluster = new TestCluster();
      cluster.start("vm-a");
      cluster.start("vm-b");
      cluster.run(5);
      Map<ShardId, ShardOwner> before = cluster.vm("vm-a").ownership().owners();
      List<VmId> all = List.of(VmId.of("vm-a"), VmId.of("vm-b"), VmId.of("vm-e"));
      // WHEN
      cluster.start("vm-e");
      cluster.run(8);
      // THEN
      Map<ShardId, ShardOwner> after = cluster.vm("vm-a").ownership().owners();
      for (ShardId shard : before.keySet()) {
        boolean moved = TestVm.MAP.owner(shard, all).orElseThrow().equals(VmId.of("vm-e"));
        long raised = after.get(shard).epoch() - before.get(shard).epoch();
        assertThat(raised).isEqualTo(moved ? 1 : 0);
      }
      assertThat(cluster.vm("vm-e").held()).isNotEmpty();
    }
  }
}
