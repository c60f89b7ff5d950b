package tansypass.testbed.simulation;

import java.util.PriorityQueue;
import tansypass.cluster.runtime.Scheduler;

/**
 * A scheduler in virtual time, which jumps from each event to the next one. Events that are due at the same time run
 * in the order in which they were scheduled. Times are microseconds. Not thread-safe.
 */
public final class EventQueue implements Scheduler {
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long nowUs;
    private long scheduledCount;

    private static final class Event implements Timer, Comparable<Event> {
        private final long dueUs;
        private final long sequence;
        private Runnable task;

        Event(long dueUs, long sequence, Runnable task) {
            this.dueUs = dueUs;
            this.sequence = sequence;
            this.task = task;
        }

        @Override
        public void cancel() {
            task = null;
        }

        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(dueUs, other.dueUs);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }

    @Override
    public long nowUs() {
        return nowUs;
    }

    @Override
    public Timer after(long delayUs, Runnable task) {
        Event event = new Event(nowUs + Math.max(0, delayUs), scheduledCount++, task);
        events.add(event);
        return event;
    }

    /** Runs all events that are due until {@code untilUs} and advances virtual time to {@code untilUs}. */
    public void runUntil(long untilUs) {
        for (Event next = events.peek(); next != null && next.dueUs <= untilUs; next = events.peek()) {
            events.poll();
            if (next.task != null) {
                nowUs = next.dueUs;
                Runnable task = next.task;
                next.task = null;
                task.run();
            }
        }
        nowUs = Math.max(nowUs, untilUs);
    }
}
