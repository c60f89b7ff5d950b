package tansypass.cluster.membership;

/**
 * The keys of messages and members in CBOR and JSON. Peers of other versions and scripts of operators read them, so a
 * key must not change when the corresponding field is renamed in the code.
 */
final class WireKey {
    static final String KIND = "kind";
    static final String NUMBER = "number";
    static final String TARGET = "target";
    static final String DEPLOYMENT = "deployment";
    static final String PROTOCOL_VERSION = "version";
    static final String SENDER = "from";
    static final String SENDER_GENERATION = "generation";
    static final String DIGEST = "digest";
    static final String UPDATES = "news";

    static final String NAME = "name";
    static final String GENERATION = "gen";
    static final String NONCE = "nonce";
    static final String ZONE = "zone";
    static final String ROLE = "role";
    static final String ADDRESS = "at";
    static final String OLDEST_VERSION = "old";
    static final String NEWEST_VERSION = "new";
    static final String STATE = "state";
    static final String INCARNATION = "inc";
    static final String SUSPECTED_BY = "by";
    static final String DRAINING = "away";

    private WireKey() {}
}
