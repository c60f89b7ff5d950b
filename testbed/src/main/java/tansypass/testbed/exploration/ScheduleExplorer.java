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
 * Searches schedules of random faults for one that violates an invariant. Shrinks the schedule that it finds: first
 * removes faults, then halves their durations (delta debugging, Zeller and Hildebrandt, Simplifying and Isolating
 * Failure-Inducing Input, 2002). A schedule has few faults, so it suffices to change one fault at a time.
 */
public final class ScheduleExplorer {
    /** Shrinking makes no fault shorter than this. */
    private static final long MIN_DURATION_US = 10_000;

    private final Scenario baseScenario;
    private final Runner runner;
    private final IntConsumer progressListener;

    /** Runs scenarios; called by several threads at the same time. */
    public interface Runner {
        /** Runs the scenario and returns its checker. */
        InvariantChecker run(Scenario scenario, long seed);
    }

    /**
     * A violation that the search found.
     *
     * @param smallestScenario the scenario after shrinking, which still violates the same invariant
     */
    public record Finding(Scenario smallestScenario, long seed, Violation violation) {}

    /**
     * The result of a search.
     *
     * @param triedCount the number of schedules run, without those of the shrinking
     */
    public record Result(int triedCount, Optional<Finding> finding) {}

    /** Creates an explorer that injects the scenario's own faults together with the random ones. */
    public ScheduleExplorer(Scenario baseScenario, Runner runner) {
        this(baseScenario, runner, startedCount -> {});
    }

    /** Creates an explorer whose listener receives the number of schedules started so far, on any of the threads. */
    public ScheduleExplorer(Scenario baseScenario, Runner runner, IntConsumer progressListener) {
        this.baseScenario = baseScenario;
        this.runner = runner;
        this.progressListener = progressListener;
    }

    /**
     * Runs the schedules of the seeds from {@code firstSeed} on, until one violates an invariant, the time budget is
     * used up, or {@code maxSchedules} have been run.
     */
    public Result explore(long firstSeed, long budgetMs, int maxSchedules, int threads) throws InterruptedException {
        long endNs = System.nanoTime() + budgetMs * 1_000_000;
        Search search = new Search(firstSeed, firstSeed + maxSchedules, endNs);
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
            throw new IllegalStateException("schedule run failed", e.getCause());
        } finally {
            pool.shutdownNow();
        }
        return new Result(
                search.triedCount.get(), search.violatingSeed().map(seed -> shrink(addRandomFaults(seed), seed)));
    }

    /** A search through a range of seeds, which several threads run at the same time. */
    private final class Search implements Runnable {
        private static final long NO_SEED = Long.MAX_VALUE;

        private final long endSeed;
        private final long endNs;
        private final AtomicLong nextSeed;
        private final AtomicInteger triedCount = new AtomicInteger();
        /** The lowest seed with a violation, so that the result does not depend on which of two threads is first. */
        private final AtomicLong violatingSeed = new AtomicLong(NO_SEED);

        Search(long firstSeed, long endSeed, long endNs) {
            this.endSeed = endSeed;
            this.endNs = endNs;
            nextSeed = new AtomicLong(firstSeed);
        }

        @Override
        public void run() {
            long seed = nextSeed.getAndIncrement();
            while (seed < endSeed && seed < violatingSeed.get() && System.nanoTime() < endNs) {
                progressListener.accept(triedCount.incrementAndGet());
                if (runner.run(addRandomFaults(seed), seed).violationCount() > 0) {
                    violatingSeed.accumulateAndGet(seed, Math::min);
                }
                seed = nextSeed.getAndIncrement();
            }
        }

        Optional<Long> violatingSeed() {
            long seed = violatingSeed.get();
            return seed == NO_SEED ? Optional.empty() : Optional.of(seed);
        }
    }

    private Scenario addRandomFaults(long seed) {
        List<Fault> faults = new ArrayList<>(baseScenario.faults());
        faults.addAll(new RandomFaultGenerator(baseScenario, RandomStreams.of(seed, "faults")).draw());
        return baseScenario.withFaults(faults);
    }

    private Finding shrink(Scenario violating, long seed) {
        Violation violation = runner.run(violating, seed).violations().get(0);
        Scenario smallestScenario = violating;
        boolean hasShrunk = true;
        while (hasShrunk) {
            hasShrunk = false;
            for (Scenario candidate : reductionsOf(smallestScenario)) {
                Optional<Violation> sameViolation = findViolation(runner.run(candidate, seed), violation.invariant());
                if (sameViolation.isPresent()) {
                    smallestScenario = candidate;
                    violation = sameViolation.get();
                    hasShrunk = true;
                    break;
                }
            }
        }
        return new Finding(smallestScenario, seed, violation);
    }

    private static Optional<Violation> findViolation(InvariantChecker checker, Invariant invariant) {
        return checker.violations().stream()
                .filter(v -> v.invariant() == invariant)
                .findFirst();
    }

    /** Returns the scenarios with one fault removed, followed by those with one fault of half the duration. */
    private static List<Scenario> reductionsOf(Scenario scenario) {
        List<Scenario> reductions = new ArrayList<>();
        for (int i = 0; i < scenario.faults().size(); i++) {
            List<Fault> remaining = new ArrayList<>(scenario.faults());
            remaining.remove(i);
            reductions.add(scenario.withFaults(remaining));
        }
        for (int i = 0; i < scenario.faults().size(); i++) {
            Fault fault = scenario.faults().get(i);
            if (fault.durationUs() / 2 >= MIN_DURATION_US) {
                List<Fault> shortened = new ArrayList<>(scenario.faults());
                shortened.set(
                        i,
                        new Fault(
                                fault.kind(),
                                fault.startUs(),
                                fault.durationUs() / 2,
                                fault.targets(),
                                fault.direction(),
                                fault.amount(),
                                fault.timeUs()));
                reductions.add(scenario.withFaults(shortened));
            }
        }
        return reductions;
    }
}
