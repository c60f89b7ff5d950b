package tansypass.cluster.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.ListSampler;

/**
 * The order in which members are probed: in rounds, each over all members in a new random order (SWIM, section 4.3).
 */
final class ProbeOrder {
    private final UniformRandomProvider random;
    /** The members that are still to be probed in the current round; the last element is probed next. */
    private final List<String> remainingNames = new ArrayList<>();

    ProbeOrder(UniformRandomProvider random) {
        this.random = random;
    }

    /**
     * Returns the name of the member to probe next; empty if there is none.
     *
     * @param names supplies the names for a new round
     * @param isEligible returns whether a member is still to be probed; it may have failed or left since the round
     *     began
     */
    Optional<String> next(Supplier<List<String>> names, Predicate<String> isEligible) {
        // If the current round has no eligible name left, the next round has one, unless no member is eligible.
        for (int rounds = 0; rounds < 2; rounds++) {
            while (!remainingNames.isEmpty()) {
                String name = remainingNames.remove(remainingNames.size() - 1);
                if (isEligible.test(name)) {
                    return Optional.of(name);
                }
            }
            remainingNames.addAll(names.get());
            ListSampler.shuffle(random, remainingNames);
        }
        return Optional.empty();
    }

    /** Inserts a new member into the current round at a random position. */
    void add(String name) {
        remainingNames.add(random.nextInt(remainingNames.size() + 1), name);
    }
}
