package tansypass.node.lifecycle;

import java.util.function.Consumer;

/**
 * Whether this process serves clients: the one state behind {@code /ready}, the admin calls and SIGTERM. Thread-safe;
 * the frontend follows it on its own event loop.
 */
public final class Lifecycle {

    /**
     * In order; the names are part of the admin interface. A draining (lame duck) node may resume, a stopping one not.
     */
    public enum State {
        STARTING,
        TAKING,
        LAME_DUCK,
        STOPPING
    }

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
     * Sets the one observer of changes. It runs on the thread that makes a change, and at once with the present state.
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

    /** Marks the start as complete. Draining that was requested before that stays in effect. */
    public synchronized void markStarted() {
        started = true;
        if (state == State.STARTING) {
            transitionTo(State.TAKING);
        }
    }

    /** Starts draining: each response closes its connection, and the process continues. No effect while stopping. */
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

    /** Starts the graceful shutdown, which can not be undone. */
    public synchronized void stop() {
        transitionTo(State.STOPPING);
    }
}
