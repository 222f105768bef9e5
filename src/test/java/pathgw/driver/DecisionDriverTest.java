package pathgw.driver;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import pathgw.fixture.NetworkFixture;

/** The order in which the decision engine gets its inputs. */
class DecisionDriverTest extends NetworkFixture {
  @Test
  void inputSubmittedByAnotherInputIsProcessedAfterIt() {
    List<String> order = new ArrayList<>();
    driver.submit(
        engine -> {
          driver.submit(later -> order.add("second"));
          order.add("first");
        });
    assertEquals(List.of("first", "second"), order);
  }
}
