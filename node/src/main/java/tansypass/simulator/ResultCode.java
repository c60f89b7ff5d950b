package tansypass.simulator;

import tansypass.balancer.AttemptResult;

/** The codes of attempts' and probes' results on the simulator's wire. */
enum ResultCode {
    OK(10, AttemptResult.OK),
    ERROR(20, AttemptResult.ERROR),
    OVERLOADED(30, AttemptResult.OVERLOADED),
    TIMEOUT(40, AttemptResult.TIMEOUT),
    CONNECT_FAILED(50, AttemptResult.CONNECT_FAILED),
    RESET(60, AttemptResult.RESET),
    CANCELLED(70, AttemptResult.CANCELLED),
    NOT_SENT(80, AttemptResult.NOT_SENT);

    private static final String FIELD = "rc";
    private static final ResultCode[] ALL = values();

    private final int code;
    private final AttemptResult result;

    ResultCode(int code, AttemptResult result) {
        this.code = code;
        this.result = result;
    }

    /**
     * Parses the result that the current event gives.
     *
     * @throws ProtocolException if it has none, or an unknown one
     */
    static AttemptResult parse(EventLineReader line) throws ProtocolException {
        long code = line.requireLong(FIELD);
        for (ResultCode resultCode : ALL) {
            if (resultCode.code == code) {
                return resultCode.result;
            }
        }
        throw line.malformed(FIELD, "is unknown: " + code);
    }
}
