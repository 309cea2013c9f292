package org.masticspread.ctl;

import static com.tngtech.archunit.library.Architectures.layeredArchitecture;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

@AnalyzeClasses(packages = "org.masticspread", importOptions = ImportOption.DoNotIncludeTests.class)
class ModuleDirectionTest {
  @ArchTest
  static final ArchRule should_depend_only_on_lower_layers =
      layeredArchitecture()
          .consideringOnlyDependenciesInLayers()
          .layer("model")
          .definedBy("org.masticspread.model..")
          .layer("codec")
          .definedBy("org.masticspread.codec..")
          .layer("policy")
          .definedBy("org.masticspread.policy..")
          .layer("state")
          .definedBy("org.masticspread.state..")
          .layer("wire")
          .definedBy("org.masticspread.wire..")
          .layer("platform")
          .definedBy("org.masticspread.platform..")
          .layer("node")
          .definedBy("org.masticspread.node..")
          .layer("cell")
          .definedBy("org.masticspread.cell..")
          .layer("adapter")
          .definedBy("org.masticspread.adapter..")
          .layer("ctl")
          .definedBy("org.masticspread.ctl..")
          .withOptionalLayers(true)
          .whereLayer("model")
          .mayNotAccessAnyLayer()
          .whereLayer("codec")
          .mayOnlyAccessLayers("model")
          .whereLayer("policy")
          .mayOnlyAccessLayers("model")
          .whereLayer("state")
          .mayOnlyAccessLayers("model", "codec")
          .whereLayer("wire")
          .mayOnlyAccessLayers("model", "codec")
          .whereLayer("platform")
          .mayOnlyAccessLayers("model", "codec")
          .whereLayer("cell")
          .mayOnlyAccessLayers("model", "codec")
          .whereLayer("adapter")
          .mayNotBeAccessedByAnyLayer()
          .whereLayer("ctl")
          .mayNotBeAccessedByAnyLayer();
}
