package org.masticspread.platform.contract;

import org.junit.jupiter.api.Nested;

/** Checks the in-memory stand-ins against each contract. */
class MemoryContractTest {
  @Nested
  class Table extends TableContract {
    @Override
    PlatformFixture open() {
      return PlatformFixture.inMemory();
    }
  }

  @Nested
  class Objects extends ObjectsContract {
    @Override
    PlatformFixture open() {
      return PlatformFixture.inMemory();
    }
  }

  @Nested
  class Membership extends MembershipContract {
    @Override
    PlatformFixture open() {
      return PlatformFixture.inMemory();
    }
  }

  @Nested
  class Worker extends WorkerContract {
    @Override
    PlatformFixture open() {
      return PlatformFixture.inMemory();
    }
  }

  @Nested
  class Endpoint extends EndpointContract {
    @Override
    PlatformFixture open() {
      return PlatformFixture.inMemory();
    }
  }
}
