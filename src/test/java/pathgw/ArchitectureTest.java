package pathgw;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/** Checks which packages and classes may depend on which. */
class ArchitectureTest {
  private static final JavaClasses CLASSES =
      new ClassFileImporter()
          .withImportOption(new ImportOption.DoNotIncludeTests())
          .importPackages("pathgw");
  private static final DescribedPredicate<JavaClass> SOCKETS =
      JavaClass.Predicates.resideInAnyPackage(
              "io.vertx.core.net..",
              "io.vertx.core.http..",
              "io.vertx.core.datagram..",
              "io.netty..",
              "java.net",
              "java.nio.channels..")
          .and(
              DescribedPredicate.not(
                  JavaClass.Predicates.belongTo(
                      DescribedPredicate.describe(
                          "an exception or URLEncoder",
                          c ->
                              c.isAssignableTo(Exception.class)
                                  || c.getSimpleName().equals("URLEncoder")))));

  /** The pathgw classes outside the given packages. */
  private static DescribedPredicate<JavaClass> ourPackagesExcept(String... packages) {
    return JavaClass.Predicates.resideInAPackage("pathgw..")
        .and(DescribedPredicate.not(JavaClass.Predicates.resideInAnyPackage(packages)));
  }

  @Test
  void packagesHaveNoCycles() {
    // Main starts the subcommands, so it is the only class that may depend on all packages.
    JavaClasses withoutMain =
        CLASSES.that(DescribedPredicate.not(JavaClass.Predicates.simpleName("Main")));
    slices().matching("pathgw.(*)..").should().beFreeOfCycles().check(withoutMain);
    noClasses()
        .should()
        .dependOnClassesThat()
        .haveFullyQualifiedName("pathgw.Main")
        .check(withoutMain);
  }

  /** Decisions depend only on the caller's inputs, so that all callers get the same decisions. */
  @Test
  void decisionDependsOnlyOnAlgorithmAndAlgorithmOnNoOtherPackage() {
    noClasses()
        .that()
        .resideInAPackage("pathgw.decision..")
        .should()
        .dependOnClassesThat(ourPackagesExcept("pathgw.decision..", "pathgw.algorithm.."))
        .check(CLASSES);
    noClasses()
        .that()
        .resideInAPackage("pathgw.algorithm..")
        .should()
        .dependOnClassesThat(ourPackagesExcept("pathgw.algorithm.."))
        .check(CLASSES);
  }

  @Test
  void servingCodeDoesNotDependOnFakesSimulationOrCommandLine() {
    noClasses()
        .that()
        .resideOutsideOfPackages("pathgw", "pathgw.fake..", "pathgw.simulation..", "pathgw.cli..")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage("pathgw.fake..", "pathgw.simulation..", "pathgw.cli..")
        .check(CLASSES);
    noClasses()
        .that()
        .resideInAPackage("pathgw.fake..")
        .should()
        .dependOnClassesThat(ourPackagesExcept("pathgw.fake.."))
        .check(CLASSES);
  }

  /**
   * ObjectMapper loads time zones and locales, which delays the start, before clients are served.
   */
  @Test
  void nothingDependsOnJacksonObjectMapper() {
    noClasses()
        .should()
        .dependOnClassesThat()
        .haveFullyQualifiedName("com.fasterxml.jackson.databind.ObjectMapper")
        .check(CLASSES);
  }

  @Test
  void onlyVertxTransportUsesSocketsAndClock() {
    noClasses()
        .that()
        .doNotHaveFullyQualifiedName("pathgw.server.ClassArchiveTraining")
        .and()
        .haveNameNotMatching("pathgw\\.transport\\.VertxTransport.*")
        .should()
        .dependOnClassesThat(SOCKETS)
        .check(CLASSES);
    noClasses()
        .that()
        .haveNameNotMatching("pathgw\\.transport\\.VertxTransport")
        .and()
        .resideOutsideOfPackage("pathgw.cli")
        .should()
        .callMethod(System.class, "nanoTime")
        .orShould()
        .callMethod(System.class, "currentTimeMillis")
        .check(CLASSES);
  }

  @Test
  void simulationUsesNoThreadsAndNoUnseededRandomness() {
    noClasses()
        .that()
        .resideInAnyPackage("pathgw.simulation..", "pathgw.fake..")
        .and()
        .doNotHaveSimpleName("SeedRange")
        .should()
        .dependOnClassesThat()
        .resideInAPackage("java.util.concurrent..")
        .orShould()
        .callConstructor(java.util.Random.class)
        .orShould()
        .callMethod(Math.class, "random")
        .check(CLASSES);
  }
}
