package tansypass.node.process;

import java.lang.reflect.Proxy;

/** Handles SIGHUP, which by default ends a Java process. */
final class HangupSignal {
    private static final String SIGNAL_NAME = "HUP";

    private HangupSignal() {}

    /**
     * Sets the action that runs at each signal, on a thread of the Java runtime.
     *
     * @throws SignalUnavailableException if this runtime has no signal handlers, or the operating system has no such
     *     signal
     */
    static void setHandler(Runnable action) throws SignalUnavailableException {
        try {
            setHandlerByReflection(action);
        } catch (ReflectiveOperationException | IllegalArgumentException e) {
            throw new SignalUnavailableException(SIGNAL_NAME, e);
        }
    }

    private static void setHandlerByReflection(Runnable action) throws ReflectiveOperationException {
        // Reflection is used because Java has no public API for signals, and the compiler's warning about the internal
        // API can't be suppressed.
        Class<?> signalType = Class.forName("sun.misc.Signal");
        Class<?> handlerType = Class.forName("sun.misc.SignalHandler");
        Object handler = Proxy.newProxyInstance(
                HangupSignal.class.getClassLoader(), new Class<?>[] {handlerType}, (proxy, method, arguments) -> {
                    action.run();
                    return null;
                });
        Object signal = signalType.getConstructor(String.class).newInstance(SIGNAL_NAME);
        signalType.getMethod("handle", signalType, handlerType).invoke(null, signal, handler);
    }
}
