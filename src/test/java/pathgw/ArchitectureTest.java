package pathgw;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/** Which package may depend on which. */
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
                          "an exception or a coder",
                          c ->
                              c.isAssignableTo(Exception.class)
                                  || c.getSimpleName().equals("URLEncoder")))));

  @Test
  void packagesHaveNoCycles() {
    // Main alone, which starts the fronts, looks down from the top.
    JavaClasses withoutMain =
        CLASSES.that(DescribedPredicate.not(JavaClass.Predicates.simpleName("Main")));
    slices().matching("pathgw.(*)..").should().beFreeOfCycles().check(withoutMain);
    noClasses()
        .should()
        .dependOnClassesThat()
        .haveFullyQualifiedName("pathgw.Main")
        .check(withoutMain);
  }

  /** Decisions are made from what the caller tells, with no other part of the program in sight. */
  @Test
  void decisionsKnowAlgorithmsAndAlgorithmsNothingOfOurs() {
    noClasses()
        .that()
        .resideInAPackage("pathgw.decision..")
        .should()
        .dependOnClassesThat(
            JavaClass.Predicates.resideInAPackage("pathgw..")
                .and(
                    DescribedPredicate.not(
                        JavaClass.Predicates.resideInAnyPackage(
                            "pathgw.decision..", "pathgw.algorithm.."))))
        .check(CLASSES);
    noClasses()
        .that()
        .resideInAPackage("pathgw.algorithm..")
        .should()
        .dependOnClassesThat(
            JavaClass.Predicates.resideInAPackage("pathgw..")
                .and(
                    DescribedPredicate.not(
                        JavaClass.Predicates.resideInAPackage("pathgw.algorithm.."))))
        .check(CLASSES);
  }

  @Test
  void servingCodeKnowsNeitherFakesNorSimulationNorCommandLine() {
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
        .dependOnClassesThat(
            JavaClass.Predicates.resideInAPackage("pathgw..")
                .and(
                    DescribedPredicate.not(JavaClass.Predicates.resideInAPackage("pathgw.fake.."))))
        .check(CLASSES);
  }

  /** It loads time zones and locales, which a proxy does while its clients go unserved. */
  @Test
  void jsonMapperIsNeverLoaded() {
    noClasses()
        .should()
        .dependOnClassesThat()
        .haveFullyQualifiedName("com.fasterxml.jackson.databind.ObjectMapper")
        .check(CLASSES);
  }

  @Test
  void oneClassSeesSocketsAndOneReadsTheClock() {
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
  void simulationHasNoThreadsAndNoRandomnessOfItsOwn() {
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
