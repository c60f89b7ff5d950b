package tansypass.platform;

import java.util.Map;
import tansypass.node.configuration.InvalidNodeConfigException;
import tansypass.node.configuration.NodeConfig;

/**
 * The configuration of the training run with which the build creates the class data sharing archive. It is parsed from
 * JSON, so the archive also contains the classes that read a configuration.
 */
public final class TrainingConfig {
    /** Port 1 refuses connections, so the run also covers a failed watch and a failed attempt. */
    private static final String JSON = """
            {"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1","limits":{"sockets":1024},
             "known":{"rev":1,"all":true,"targets":[{"uid":"s","endpoint":"127.0.0.1:1","az":"a",
              "pod_group":1,"state":"Ready","capacity_hint":1.0,"boot_ms":0}]},
             "settings":{"zones":["a"],"myZone":"a","membershipMode":"on_request","realms":[{"name":"t"}],
              "classes":[{"name":"a","repeat":"safe","onTimeUs":1000000,"giveUpUs":3000000},
               {"name":"b","repeat":"unsafe","onTimeUs":1000000,"giveUpUs":3000000}]}}""";

    private TrainingConfig() {}

    /** Returns the configuration of the training run. */
    public static NodeConfig read() {
        try {
            return NodeConfigJsonReader.read(JSON, Map.of());
        } catch (InvalidNodeConfigException e) {
            throw new IllegalStateException("the configuration of the training run is invalid", e);
        }
    }
}
