package tansypass.testbed.simulation;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.Executor;
import java.util.function.Consumer;

/**
 * Runs calls on the calling thread, one after the other. A call that is submitted while another one runs starts only
 * after the running one has returned. Not thread-safe.
 */
final class SerialExecutor implements Executor {
    private final Consumer<RuntimeException> errorHandler;
    private final Deque<Runnable> pending = new ArrayDeque<>();
    private boolean isRunning;
    private boolean isShutDown;

    /** Creates an executor; {@code errorHandler} receives the exceptions that calls throw. */
    SerialExecutor(Consumer<RuntimeException> errorHandler) {
        this.errorHandler = errorHandler;
    }

    /** Runs a call at once, or after the running one. Drops the call if {@link #shutdown} was called. */
    @Override
    public void execute(Runnable call) {
        if (isShutDown) {
            return;
        }
        pending.add(call);
        if (isRunning) {
            return;
        }
        isRunning = true;
        try {
            for (Runnable next = pending.poll(); next != null; next = pending.poll()) {
                run(next);
            }
        } finally {
            isRunning = false;
        }
    }

    private void run(Runnable call) {
        try {
            call.run();
        } catch (RuntimeException e) {
            errorHandler.accept(e);
        }
    }

    /** Drops all calls that are submitted from now on; pending ones still run. */
    void shutdown() {
        isShutDown = true;
    }

    boolean isShutDown() {
        return isShutDown;
    }
}
