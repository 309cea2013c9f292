package org.masticspread.platform.contract;

import org.junit.jupiter.api.Nested;
import org.masticspread.platform.http.HttpSettings;

/** Checks the HTTP adapters and the server against each contract. */
class HttpContractTest {
  @Nested
  class Table extends TableContract {
    @Override
    PlatformFixture open() {
      return PlatformFixture.overHttp(HttpSettings.defaults());
    }
  }

  @Nested
  class Objects extends ObjectsContract {
    @Override
    PlatformFixture open() {
      return PlatformFixture.overHttp(HttpSettings.defaults());
    }
  }

  @Nested
  class Membership extends MembershipContract {
    @Override
    PlatformFixture open() {
      return PlatformFixture.overHttp(HttpSettings.defaults());
    }
  }

  @Nested
  class Worker extends WorkerContract {
    @Override
    PlatformFixture open() {
      return PlatformFixture.overHttp(HttpSettings.defaults());
    }
  }

  @Nested
  class Endpoint extends EndpointContract {
    @Override
    PlatformFixture open() {
      return PlatformFixture.overHttp(HttpSettings.defaults());
    }
  }
}
