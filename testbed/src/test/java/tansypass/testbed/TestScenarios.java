package tansypass.testbed;

import tansypass.config.InvalidConfigException;
import tansypass.testbed.scenario.Scenario;
import tansypass.testbed.scenario.ScenarioFile;

/** Scenarios for tests, and their parts. */
public final class TestScenarios {
    /** A scenario with two nodes, four servers, two zones, one request class of each idempotency, and no fault. */
    public static final String SMALL = """
            name = "small"
            length = "4s"
            settle = "3s"
            [nodes]
            count = 2
            zones = ["a", "b"]
            [servers]
            count = 4
            cell = 2
            [clients]
            rate = 100.0
            [[classes]]
            name = "search"
            repeat = "safe"
            [[classes]]
            name = "book"
            repeat = "keyed"
            group = "cell"
            [[classes]]
            name = "pay"
            """;

    private TestScenarios() {}

    /** Parses the text of a valid scenario; fails the test if the scenario is invalid. */
    public static Scenario of(String text) {
        try {
            return ScenarioFile.parse(text, "world");
        } catch (InvalidConfigException e) {
            throw new AssertionError(e);
        }
    }

    /** Returns the TOML lines of a fault, to be appended to the text of a scenario. */
    public static String fault(String kind, String targets, String start, String duration, String furtherKeys) {
        return "[[faults]]\nkind = \"" + kind + "\"\non = [" + targets + "]\nat = \"" + start + "\"\nlasts = \""
                + duration
                + "\"\n" + furtherKeys + "\n";
    }
}
