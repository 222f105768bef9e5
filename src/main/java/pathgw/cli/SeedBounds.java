package pathgw.cli;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The bounds of a range of seeds.
 *
 * @param from the first seed
 * @param to the last seed, inclusive
 */
record SeedBounds(long from, long to) {
  private static final Pattern RANGE_PATTERN = Pattern.compile("(\\d{1,12})-(\\d{1,12})");
  private static final long MAX_SEED_DISTANCE = 10_000_000;

  long count() {
    return to - from + 1;
  }

  /** Parses a range such as {@code 0-9999}; returns null if it is malformed, empty or too large. */
  static SeedBounds parse(String text) {
    Matcher matcher = RANGE_PATTERN.matcher(text);
    if (!matcher.matches()) {
      return null;
    }
    SeedBounds bounds =
        new SeedBounds(Long.parseLong(matcher.group(1)), Long.parseLong(matcher.group(2)));
    boolean valid = bounds.from <= bounds.to && bounds.to - bounds.from <= MAX_SEED_DISTANCE;
    return valid ? bounds : null;
  }
}
