package tansypass.fleet.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.ListSampler;

/** Whom to probe next: all in a random order, then all again in another (SWIM, section 4.3). */
final class ProbeOrder {
    private final UniformRandomProvider random;
    private final List<String> round = new ArrayList<>();

    ProbeOrder(UniformRandomProvider random) {
        this.random = random;
    }

    /** The next of these names, or null if there are none. */
    String next(Collection<String> present) {
        while (true) {
            if (round.isEmpty()) {
                if (present.isEmpty()) {
                    return null;
                }
                round.addAll(present);
                ListSampler.shuffle(random, round);
            }
            String name = round.remove(round.size() - 1);
            if (present.contains(name)) {
                return name;
            }
        }
    }

    /** A new member gets into the present round at a place drawn for it. */
    void add(String name) {
        round.add(random.nextInt(round.size() + 1), name);
    }
}
