package io.persimmonstack.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Checks that each of the nine guarantees in docs/GUARANTEES.md references a test and that each such test exists. */
class GuaranteesTest {
    private static final Path ROOT = Path.of("..");
    private static final Pattern REFERENCE = Pattern.compile("`(\\w+Test)#(\\w+)`");
    private static final int GUARANTEES = 9;

    @Test
    void everyReferencedTestExists() throws IOException {
        Map<String, String> sources = testSources();
        List<String> missing = new ArrayList<>();
        Matcher reference = REFERENCE.matcher(Files.readString(ROOT.resolve("docs/GUARANTEES.md")));
        while (reference.find()) {
            String source = sources.getOrDefault(reference.group(1), "");
            if (!source.contains("void " + reference.group(2) + "(")) {
                missing.add(reference.group());
            }
        }
        assertEquals(List.of(), missing);
    }

    @Test
    void everyGuaranteeReferencesATest() throws IOException {
        List<String> rows = Files.readAllLines(ROOT.resolve("docs/GUARANTEES.md")).stream()
                .filter(line -> line.matches("\\| \\d+ \\|.*"))
                .toList();
        assertEquals(GUARANTEES, rows.size());
        rows.forEach(row -> assertTrue(REFERENCE.matcher(row).find(), row));
    }

    private static Map<String, String> testSources() throws IOException {
        try (Stream<Path> files = Files.walk(ROOT)) {
            return files.filter(file -> file.toString().contains("/src/test/java/")
                            && file.getFileName().toString().endsWith("Test.java"))
                    .collect(Collectors.toMap(
                            file -> file.getFileName().toString().replace(".java", ""),
                            GuaranteesTest::content,
                            (first, second) -> first + second));
        }
    }

    private static String content(Path file) {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            throw new IllegalStateException(file + " cannot be read", e);
        }
    }
}
