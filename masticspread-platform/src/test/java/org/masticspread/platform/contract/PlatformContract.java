package org.masticspread.platform.contract;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;

/** Base class of the contracts, which opens a platform for each test. */
abstract class PlatformContract {
  PlatformFixture platform;

  abstract PlatformFixture open();

  @BeforeEach
  void openPlatform() {
    platform = open();
  }

  @AfterEach
  void closePlatform() {
    platform.close();
  }
}
