package tansypass.cluster.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.ListSampler;

/** The order of probes: rounds over all members, each in another random order (SWIM, section 4.3). */
final class ProbeOrder {
    private final UniformRandomProvider random;
    private final List<String> round = new ArrayList<>();

    ProbeOrder(UniformRandomProvider random) {
        this.random = random;
    }

    /**
     * Returns the name to probe next; empty if there is none.
     *
     * @param names supplies the names of the next round
     * @param isEligible whether a name, which may have entered the round a while ago, is still to be probed
     */
    Optional<String> next(Supplier<List<String>> names, Predicate<String> isEligible) {
        // The rest of this round may have no eligible name; the next one does, if there is any.
        for (int rounds = 0; rounds < 2; rounds++) {
            while (!round.isEmpty()) {
                String name = round.remove(round.size() - 1);
                if (isEligible.test(name)) {
                    return Optional.of(name);
                }
            }
            round.addAll(names.get());
            ListSampler.shuffle(random, round);
        }
        return Optional.empty();
    }

    /** Inserts a new member into the present round at a random position. */
    void add(String name) {
        round.add(random.nextInt(round.size() + 1), name);
    }
}
