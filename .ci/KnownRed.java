import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import javax.xml.parsers.DocumentBuilderFactory;
import org.w3c.dom.Element;
import org.w3c.dom.NodeList;

/**
 * Holds the test reports against the list of tests that are known to fail: {@code KnownRed LIST REPORTS...}.
 * All others must pass, and each listed one must be there and fail, or its line has to go. Without reports only the
 * list itself is read. Ends with 0 or 1 and says why.
 */
final class KnownRed {
    private static final int MOST = 3;
    private static final Pattern LINE = Pattern.compile("([\\w.]+#\\w+), (\\S.*), issue (\\d+)");

    private KnownRed() {
    }

    public static void main(String[] args) throws Exception {
        List<String> wrong = new ArrayList<>();
        Map<String, String> listed = listed(Path.of(args[0]), wrong);
        if (args.length > 1) {
            Map<String, Boolean> passed = new TreeMap<>();
            for (int i = 1; i < args.length; i++) {
                read(Path.of(args[i]), passed);
            }
            judge(listed, passed, wrong);
        }
        wrong.forEach(line -> System.out.println("known-red: " + line));
        System.exit(wrong.isEmpty() ? 0 : 1);
    }

    private static Map<String, String> listed(Path file, List<String> wrong) throws IOException {
        Map<String, String> listed = new LinkedHashMap<>();
        List<String> lines = Files.exists(file) ? Files.readAllLines(file) : List.of();
        for (String line : lines) {
            Matcher m = LINE.matcher(line);
            if (line.isBlank()) {
                continue;
            } else if (!m.matches()) {
                wrong.add("not of the form 'package.Class#test, cause, issue N': " + line);
            } else if (listed.put(m.group(1), line) != null) {
                wrong.add("listed twice: " + m.group(1));
            }
        }
        if (listed.size() > MOST) {
            wrong.add(listed.size() + " lines, " + MOST + " at most");
        }
        return listed;
    }

    /** A test that ran twice has passed only if it did each time; one that was skipped has not passed. */
    private static void read(Path folder, Map<String, Boolean> passed) throws Exception {
        if (!Files.isDirectory(folder)) {
            return;
        }
        List<Path> files;
        try (Stream<Path> all = Files.list(folder)) {
            files = all.filter(f -> f.getFileName().toString().matches("TEST-.*\\.xml")).sorted().toList();
        }
        for (Path file : files) {
            NodeList cases = DocumentBuilderFactory.newInstance().newDocumentBuilder().parse(file.toFile())
                    .getElementsByTagName("testcase");
            for (int i = 0; i < cases.getLength(); i++) {
                Element test = (Element) cases.item(i);
                String name = test.getAttribute("classname") + "#"
                        + test.getAttribute("name").replaceAll("[^\\w].*", "");
                boolean green = Stream.of("failure", "error", "skipped")
                        .allMatch(kind -> test.getElementsByTagName(kind).getLength() == 0);
                passed.merge(name, green, Boolean::logicalAnd);
            }
        }
    }

    private static void judge(Map<String, String> listed, Map<String, Boolean> passed, List<String> wrong) {
        if (passed.isEmpty()) {
            wrong.add("no test has run");
        }
        passed.forEach((name, green) -> {
            if (!green && !listed.containsKey(name)) {
                wrong.add("failed or was skipped, and is not listed: " + name);
            }
        });
        listed.forEach((name, line) -> {
            if (!passed.containsKey(name)) {
                wrong.add("listed, but there is no such test: " + name);
            } else if (passed.get(name)) {
                wrong.add("listed, but it passes; strike it: " + name);
            } else {
                System.out.println("known-red: passed over: " + line);
            }
        });
    }
}
