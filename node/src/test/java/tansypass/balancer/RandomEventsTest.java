package tansypass.balancer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Random sequences of events with fixed seeds: all actions of the balancer keep rules 1 to 4 of the protocol. */
class RandomEventsTest {

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16})
    void rulesHoldOverRandomEvents(long seed) {
        RuleCheckingDriver driver = new RuleCheckingDriver(seed);
        driver.run(1_500);
        RequestRuleChecker requestRules = driver.requestRules();
        assertEquals(requestRules.requestCount(), requestRules.endedCount(), "rule 1: one final outcome per request");
        assertTrue(requestRules.servedCount() > 100, "too few requests were served: " + requestRules.servedCount());
        driver.assertSlowStartLimit();
    }

    @ParameterizedTest
    @ValueSource(longs = {21, 22})
    void sameEventsAndSeedGiveSameActions(long seed) {
        RuleCheckingDriver one = new RuleCheckingDriver(seed);
        RuleCheckingDriver two = new RuleCheckingDriver(seed);
        one.run(800);
        two.run(800);
        assertEquals(one.trace(), two.trace());
    }
}
