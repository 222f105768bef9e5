package pathgw;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/** Where things may go, and what may see what. */
class HouseTest {
  private static final JavaClasses HOUSE =
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
  void noPackageDependsOnItselfThroughOthers() {
    // Main alone, which starts the fronts, looks down from the top.
    JavaClasses house = HOUSE.that(DescribedPredicate.not(JavaClass.Predicates.simpleName("Main")));
    slices().matching("pathgw.(*)..").should().beFreeOfCycles().check(house);
    noClasses()
        .that()
        .resideInAPackage("pathgw")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage("pathgw.*..")
        .check(house);
  }

  @Test
  void whatServesKnowsNothingOfThoseWhoPlayTheWorld() {
    noClasses()
        .that()
        .resideInAnyPackage("pathgw.net..", "pathgw.config..", "pathgw.benchlink..")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage("pathgw.standin..", "pathgw.simulation..", "pathgw.command..")
        .check(HOUSE);
    noClasses()
        .that()
        .resideInAPackage("pathgw.standin..")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage("pathgw.net..", "pathgw.simulation..", "pathgw.command..")
        .check(HOUSE);
  }

  /** It loads time zones and locales, which a proxy does while its clients go unserved. */
  @Test
  void nothingLoadsTheMapperOfTheJsonLibrary() {
    noClasses()
        .should()
        .dependOnClassesThat()
        .haveFullyQualifiedName("com.fasterxml.jackson.databind.ObjectMapper")
        .check(HOUSE);
  }

  @Test
  void oneClassKnowsSocketsAndOneTheTime() {
    noClasses()
        .that()
        .doNotHaveFullyQualifiedName("pathgw.net.Rehearsal")
        .and()
        .haveNameNotMatching("pathgw\\.net\\.VertxOutside.*")
        .should()
        .dependOnClassesThat(SOCKETS)
        .check(HOUSE);
    noClasses()
        .that()
        .haveNameNotMatching("pathgw\\.net\\.VertxOutside")
        .and()
        .resideOutsideOfPackage("pathgw.command")
        .should()
        .callMethod(System.class, "nanoTime")
        .orShould()
        .callMethod(System.class, "currentTimeMillis")
        .check(HOUSE);
  }

  @Test
  void theSimulationHasNoThreadsWithinARunAndNoChanceOfItsOwn() {
    noClasses()
        .that()
        .resideInAnyPackage("pathgw.simulation..", "pathgw.standin..")
        .and()
        .doNotHaveSimpleName("Seeds")
        .should()
        .dependOnClassesThat()
        .resideInAPackage("java.util.concurrent..")
        .orShould()
        .callConstructor(java.util.Random.class)
        .orShould()
        .callMethod(Math.class, "random")
        .check(HOUSE);
  }
}
