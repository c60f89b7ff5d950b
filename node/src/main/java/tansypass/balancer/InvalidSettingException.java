package tansypass.balancer;

/** A balancer setting that is missing or out of range. */
public final class InvalidSettingException extends IllegalArgumentException {
    private static final long serialVersionUID = 1;

    private final String setting;
    private final String problem;

    /**
     * An exception whose message is the setting followed by the problem.
     *
     * @param setting the setting, named as the component of {@link BalancerSettings}
     * @param problem what is wrong with it, such as "is negative"
     */
    public InvalidSettingException(String setting, String problem) {
        super(setting + " " + problem);
        this.setting = setting;
        this.problem = problem;
    }

    /** Returns the setting, named as the component of {@link BalancerSettings}. */
    public String setting() {
        return setting;
    }

    /** Returns what is wrong with it, such as "is negative". */
    public String problem() {
        return problem;
    }
}
