package tansypass.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * The platform's names occur in the package {@code platform} and nowhere else. Names that are also terms of the field
 * are not checked.
 */
class PlatformNamesTest {
    private static final Set<String> NAMES =
            new TreeSet<>(List.of(("known targets uid az pod_group capacity_hint boot_ms Terminating "
                            + "balancers myZone realms quotaPerS overShareWorth countedBy membershipMode on_request "
                            + "quantumUs "
                            + "attemptsCap parallelTries cancelling retryAfter dialTimeoutUs connIdleUs "
                            + "askWithinUs coldFrom coldUs overloadFactor fallUs crossZone "
                            + "onTimeUs aimStretch giveUpUs importance lateWorth windowUs "
                            + "concurrent depth load_share mean_ms tps err_ps")
                    .split(" ")));
    /** A name inside a string literal: the whole text, a part of a path, or before an equals sign. */
    private static final Pattern NAME_IN_TEXT =
            Pattern.compile("(?<=[\"./ ])(" + String.join("|", NAMES) + ")(?=[\".=])");

    private static final Pattern COMMENT = Pattern.compile("/\\*.*?\\*/", Pattern.DOTALL);
    private static final Pattern LITERAL =
            Pattern.compile("'(?:\\\\.|[^'\\\\])'|\"\"\".*?\"\"\"|\"(\\\\.|[^\"\\\\\n])*\"", Pattern.DOTALL);
    /** Main code without the module config, whose TOML keys are a separate format that shares some of the names. */
    private static final List<Path> MAIN_CODE = Stream.of("node", "cluster", "testbed", "cli")
            .map(module -> Path.of("..", module, "src/main/java/tansypass"))
            .toList();

    private static final Path PLATFORM_PACKAGE = MAIN_CODE.get(0).resolve("platform");

    private static Set<String> findNames(Path file) throws IOException {
        String code = COMMENT.matcher(Files.readString(file)).replaceAll("");
        Set<String> names = new TreeSet<>();
        for (MatchResult literal : LITERAL.matcher(code).results().toList()) {
            String text = literal.group().replace("\\\"", "\"");
            NAME_IN_TEXT.matcher(text).results().forEach(found -> names.add(found.group(1)));
        }
        return names;
    }

    private static List<Path> findSources(Path folder) throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            return files.filter(file -> file.toString().endsWith(".java")).toList();
        }
    }

    @Test
    void onlyThePlatformPackageSpellsThePlatformsNames() throws IOException {
        Set<String> namesInPackage = new TreeSet<>();
        Set<String> namesElsewhere = new TreeSet<>();
        for (Path folder : MAIN_CODE) {
            for (Path file : findSources(folder)) {
                Set<String> names = findNames(file);
                if (file.startsWith(PLATFORM_PACKAGE)) {
                    namesInPackage.addAll(names);
                } else {
                    names.forEach(name -> namesElsewhere.add(file + ": " + name));
                }
            }
        }
        assertEquals(NAMES, namesInPackage);
        assertEquals(Set.of(), namesElsewhere);
    }
}
