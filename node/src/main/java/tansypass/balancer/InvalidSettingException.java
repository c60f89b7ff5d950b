package tansypass.balancer;

import java.util.OptionalInt;

/** Thrown if a setting of the load balancer is missing or out of range. */
public final class InvalidSettingException extends IllegalArgumentException {
    private static final long serialVersionUID = 1;
    private static final int NO_CLASS = -1;

    private final int classIndex;
    private final String component;
    private final String problem;

    private InvalidSettingException(String path, int classIndex, String component, String problem) {
        super(path + " " + problem);
        this.classIndex = classIndex;
        this.component = component;
        this.problem = problem;
    }

    /**
     * Creates an exception whose message is the setting followed by the problem.
     *
     * @param component the setting, named as the component of {@link BalancerSettings}
     * @param problem what is wrong with the setting, with its value, such as "is negative: -1"
     */
    InvalidSettingException(String component, String problem) {
        this(component, NO_CLASS, component, problem);
    }

    /**
     * Creates an exception for a setting of a request class.
     *
     * @param classIndex index of the class in {@link BalancerSettings#classes}
     * @param component the setting, named as the component of {@link RequestClass}
     * @param problem what is wrong with the setting, with its value
     */
    InvalidSettingException(int classIndex, String component, String problem) {
        this("classes[" + classIndex + "]." + component, classIndex, component, problem);
    }

    /** Returns the index of the request class that the setting belongs to; empty if it belongs to no class. */
    public OptionalInt classIndex() {
        return classIndex == NO_CLASS ? OptionalInt.empty() : OptionalInt.of(classIndex);
    }

    /** Returns the setting, named as the component of {@link BalancerSettings} or of {@link RequestClass}. */
    public String component() {
        return component;
    }

    /** Returns what is wrong with the setting, with its value, such as "is negative: -1". */
    public String problem() {
        return problem;
    }
}
