package pathgw.fake.client;

import java.util.Arrays;
import java.util.Random;

/** Draws indexes by Zipf's law: index {@code i} has the weight {@code 1 / (i + 1)^exponent}. */
final class ZipfDistribution {
  private final double[] cumulativeWeights;

  ZipfDistribution(int count, double exponent) {
    cumulativeWeights = new double[count];
    double sum = 0;
    for (int i = 0; i < count; i++) {
      // Math.pow(i + 1, exponent) is the same but rounds differently, and a seed would then produce
      // other runs.
      sum += 1 / Math.sqrt(Math.pow(i + 1, 2 * exponent));
      cumulativeWeights[i] = sum;
    }
  }

  /** Draws an index; takes exactly one number from {@code random}. */
  int next(Random random) {
    double point = random.nextDouble() * cumulativeWeights[cumulativeWeights.length - 1];
    int found = Arrays.binarySearch(cumulativeWeights, point);
    return found < 0 ? -found - 1 : found;
  }
}
