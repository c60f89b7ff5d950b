package tansypass.simulator;

import tansypass.balancer.AttemptResult;

/** The simulator's codes for the results of attempts and probes. */
enum ResultCode {
    OK(10, AttemptResult.OK),
    ERROR(20, AttemptResult.ERROR),
    OVERLOADED(30, AttemptResult.OVERLOADED),
    TIMEOUT(40, AttemptResult.TIMEOUT),
    CONNECT_FAILED(50, AttemptResult.CONNECT_FAILED),
    RESET(60, AttemptResult.RESET),
    CANCELLED(70, AttemptResult.CANCELLED),
    NOT_SENT(80, AttemptResult.NOT_SENT);

    private static final String CODE_FIELD = "rc";
    private static final ResultCode[] RESULT_CODES = values();

    private final int code;
    private final AttemptResult result;

    ResultCode(int code, AttemptResult result) {
        this.code = code;
        this.result = result;
    }

    /**
     * Reads the result code of the current event.
     *
     * @throws ProtocolException if the event has no result code, or an unknown one
     */
    static AttemptResult read(EventLineReader reader) throws ProtocolException {
        long code = reader.requireLong(CODE_FIELD);
        for (ResultCode resultCode : RESULT_CODES) {
            if (resultCode.code == code) {
                return resultCode.result;
            }
        }
        throw reader.newProtocolException(CODE_FIELD, "is unknown: " + code);
    }
}
