package tansypass.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Random sequences of events with fixed seeds, over which all actions must follow rules 1 to 4 of the protocol. */
class RandomEventsTest {

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16})
    void rulesHoldOverRandomEvents(long seed) {
        RuleCheckingDriver driver = new RuleCheckingDriver(seed);
        driver.run(1_500);
        RequestRuleChecker requestRules = driver.requestRules();
        assertEquals(
                requestRules.requestCount(),
                requestRules.endedCount(),
                "rule 1: each request must have exactly one final response");
        assertTrue(requestRules.servedCount() > 100, "too few requests were served: " + requestRules.servedCount());
        driver.assertSlowStartLimit();
    }

    @ParameterizedTest
    @ValueSource(longs = {21, 22})
    void sameEventsAndSeedGiveSameActions(long seed) {
        RuleCheckingDriver first = new RuleCheckingDriver(seed);
        RuleCheckingDriver second = new RuleCheckingDriver(seed);
        first.run(800);
        second.run(800);
        assertEquals(first.trace(), second.trace());
    }
}
