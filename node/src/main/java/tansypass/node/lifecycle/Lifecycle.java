package tansypass.node.lifecycle;

import java.util.function.Consumer;

/**
 * The serving state of this process, which {@code /ready} reports and the admin calls and SIGTERM change.
 * Thread-safe. The frontend reads the state on its own event loop.
 */
public final class Lifecycle {

    /**
     * The states, in order. Their names are part of the admin interface. A draining (lame duck) node can resume, and
     * a stopping one can't.
     */
    public enum State {
        STARTING,
        TAKING,
        LAME_DUCK,
        STOPPING
    }

    /** True if the start is complete. */
    private boolean started;

    private volatile State state = State.STARTING;
    private Consumer<State> observer = changed -> {};

    /** Returns the present state. */
    public State state() {
        return state;
    }

    /** Returns whether the node is draining or stopping. */
    public boolean isDraining() {
        return state.compareTo(State.LAME_DUCK) >= 0;
    }

    /**
     * Sets the one observer of changes, and calls it at once with the present state. It runs on the thread that makes
     * a change.
     */
    public synchronized void setObserver(Consumer<State> newObserver) {
        observer = newObserver;
        newObserver.accept(state);
    }

    private void transitionTo(State next) {
        if (state != next) {
            state = next;
            observer.accept(next);
        }
    }

    /** Marks the start as complete. If draining was requested before, it stays in effect. */
    public synchronized void markStarted() {
        started = true;
        if (state == State.STARTING) {
            transitionTo(State.TAKING);
        }
    }

    /**
     * Starts draining: each response closes its connection, and the process continues. Has no effect while stopping.
     */
    public synchronized void startDraining() {
        if (state != State.STOPPING) {
            transitionTo(State.LAME_DUCK);
        }
    }

    /**
     * Ends draining.
     *
     * @return false if the process is stopping already
     */
    public synchronized boolean resume() {
        if (state == State.LAME_DUCK) {
            transitionTo(started ? State.TAKING : State.STARTING);
        }
        return state != State.STOPPING;
    }

    /** Starts the graceful shutdown, which can't be undone. */
    public synchronized void stop() {
        transitionTo(State.STOPPING);
    }
}
