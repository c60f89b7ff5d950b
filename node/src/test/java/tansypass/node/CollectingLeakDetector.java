package tansypass.node;

import io.netty.util.ResourceLeakDetector;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/** Collects the leaks that Netty detects. A system property in the build makes Netty use this class. */
public final class CollectingLeakDetector<T> extends ResourceLeakDetector<T> {
    static final Queue<String> LEAKS = new ConcurrentLinkedQueue<>();

    /** Creates a detector for buffers of a type; called by Netty through reflection. */
    public CollectingLeakDetector(Class<?> type, int samplingInterval) {
        super(type, samplingInterval);
    }

    /** Creates a detector for buffers of a type; called by Netty through reflection. The last argument is obsolete. */
    public CollectingLeakDetector(Class<?> type, int samplingInterval, long ignored) {
        this(type, samplingInterval);
    }

    @Override
    protected boolean needReport() {
        return true;
    }

    @Override
    protected void reportTracedLeak(String type, String records) {
        LEAKS.add(type + records);
    }

    @Override
    protected void reportUntracedLeak(String type) {
        LEAKS.add(type);
    }
}
