package tansypass.testbed.exploration;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.IntConsumer;
import tansypass.cluster.runtime.RandomStreams;
import tansypass.testbed.invariant.Invariant;
import tansypass.testbed.invariant.InvariantChecker;
import tansypass.testbed.invariant.Violation;
import tansypass.testbed.scenario.Scenario;
import tansypass.testbed.scenario.Scenario.Fault;

/**
 * Searches schedules of random faults for one that violates an invariant, and shrinks it: fewer faults, then
 * shorter ones (Zeller and Hildebrandt, Simplifying and Isolating Failure-Inducing Input, 2002; its
 * reduction one by one is enough for the few faults of a schedule).
 */
public final class ScheduleExplorer {
    /** A fault is not made shorter than this. */
    private static final long SHORTEST_US = 10_000;

    private final Scenario base;
    private final Runner runner;
    private final IntConsumer progress;

    /** Runs a scenario; called by several threads at once. */
    public interface Runner {
        /** Runs the scenario and returns its checker. */
        InvariantChecker run(Scenario scenario, long seed);
    }

    /**
     * A violation that was found.
     *
     * @param smallest the scenario with the fewest and shortest faults that still cause it
     */
    public record Finding(Scenario smallest, long seed, Violation violation) {}

    /**
     * The result of a search.
     *
     * @param tried schedules run, not counting those of shrinking one
     */
    public record Result(int tried, Optional<Finding> found) {}

    /** Creates an explorer; the scenario's own faults are injected together with the random ones. */
    public ScheduleExplorer(Scenario base, Runner runner) {
        this(base, runner, tried -> {});
    }

    /** Creates an explorer; {@code progress} gets the number of schedules run so far, on any of the threads. */
    public ScheduleExplorer(Scenario base, Runner runner, IntConsumer progress) {
        this.base = base;
        this.runner = runner;
        this.progress = progress;
    }

    /**
     * Runs schedules of the seeds from {@code firstSeed} on, until one violates an invariant, the budget in
     * milliseconds is used up, or {@code maxSchedules} have been run.
     */
    public Result explore(long firstSeed, long budgetMs, int maxSchedules, int threads) throws InterruptedException {
        long untilNs = System.nanoTime() + budgetMs * 1_000_000;
        Search search = new Search(firstSeed, firstSeed + maxSchedules, untilNs);
        ExecutorService pool = Executors.newFixedThreadPool(threads);
        try {
            List<Future<?>> workers = new ArrayList<>();
            for (int i = 0; i < threads; i++) {
                workers.add(pool.submit(search));
            }
            for (Future<?> worker : workers) {
                worker.get();
            }
        } catch (ExecutionException e) {
            throw new IllegalStateException("a run failed", e.getCause());
        } finally {
            pool.shutdownNow();
        }
        return new Result(search.tried.get(), search.violatingSeed().map(seed -> shrink(randomized(seed), seed)));
    }

    /** Runs the schedules of a range of seeds, on several threads at once. */
    private final class Search implements Runnable {
        private static final long NONE = Long.MAX_VALUE;

        private final long endSeed;
        private final long untilNs;
        private final AtomicLong nextSeed;
        private final AtomicInteger tried = new AtomicInteger();
        /** The lowest seed with a violation: which of two threads comes first must not decide the result. */
        private final AtomicLong violatingSeed = new AtomicLong(NONE);

        Search(long firstSeed, long endSeed, long untilNs) {
            this.endSeed = endSeed;
            this.untilNs = untilNs;
            nextSeed = new AtomicLong(firstSeed);
        }

        @Override
        public void run() {
            long seed = nextSeed.getAndIncrement();
            while (seed < endSeed && seed < violatingSeed.get() && System.nanoTime() < untilNs) {
                progress.accept(tried.incrementAndGet());
                if (runner.run(randomized(seed), seed).violationCount() > 0) {
                    violatingSeed.accumulateAndGet(seed, Math::min);
                }
                seed = nextSeed.getAndIncrement();
            }
        }

        Optional<Long> violatingSeed() {
            long seed = violatingSeed.get();
            return seed == NONE ? Optional.empty() : Optional.of(seed);
        }
    }

    private Scenario randomized(long seed) {
        List<Fault> faults = new ArrayList<>(base.faults());
        faults.addAll(new RandomFaultGenerator(base, RandomStreams.of(seed, "faults")).draw());
        return base.withFaults(faults);
    }

    private Finding shrink(Scenario found, long seed) {
        Violation violation = runner.run(found, seed).violations().get(0);
        Scenario smallest = found;
        boolean smaller = true;
        while (smaller) {
            smaller = false;
            for (Scenario next : smallerThan(smallest)) {
                Optional<Violation> same = same(runner.run(next, seed), violation.invariant());
                if (same.isPresent()) {
                    smallest = next;
                    violation = same.get();
                    smaller = true;
                    break;
                }
            }
        }
        return new Finding(smallest, seed, violation);
    }

    private static Optional<Violation> same(InvariantChecker checker, Invariant invariant) {
        return checker.violations().stream()
                .filter(v -> v.invariant() == invariant)
                .findFirst();
    }

    /** Returns the scenarios with one fault less, or with one of half the length. */
    private static List<Scenario> smallerThan(Scenario scenario) {
        List<Scenario> smaller = new ArrayList<>();
        for (int i = 0; i < scenario.faults().size(); i++) {
            List<Fault> fewer = new ArrayList<>(scenario.faults());
            fewer.remove(i);
            smaller.add(scenario.withFaults(fewer));
        }
        for (int i = 0; i < scenario.faults().size(); i++) {
            Fault fault = scenario.faults().get(i);
            if (fault.durationUs() / 2 >= SHORTEST_US) {
                List<Fault> shorter = new ArrayList<>(scenario.faults());
                shorter.set(
                        i,
                        new Fault(
                                fault.kind(),
                                fault.startUs(),
                                fault.durationUs() / 2,
                                fault.targets(),
                                fault.direction(),
                                fault.amount(),
                                fault.timeUs()));
                smaller.add(scenario.withFaults(shorter));
            }
        }
        return smaller;
    }
}
