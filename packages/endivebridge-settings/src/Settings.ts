import { Effect, Schema } from "effect";

const Port = Schema.Int.check(Schema.isBetween({ minimum: 0, maximum: 65535 }));
const Name = Schema.String.check(Schema.isPattern(/^[a-z0-9][a-z0-9-]{0,62}$/));
const SecretKey = Schema.String.check(Schema.isMinLength(16));
const Millis = Schema.Int.check(Schema.isBetween({ minimum: 1, maximum: 86_400_000 }));
const Bytes = Schema.Int.check(Schema.isBetween({ minimum: 1, maximum: 1_073_741_824 }));

function millisWithDefault(defaultMillis: number, description: string) {
    return Millis.annotate({ description }).pipe(Schema.withDecodingDefaultKey(Effect.succeed(defaultMillis)));
}

function bytes(defaultBytes: number, description: string) {
    return Bytes.annotate({ description }).pipe(Schema.withDecodingDefaultKey(Effect.succeed(defaultBytes)));
}

function countWithDefault(defaultCount: number, description: string) {
    return Schema.Int.check(Schema.isBetween({ minimum: 1, maximum: 10_000_000 }))
        .annotate({ description })
        .pipe(Schema.withDecodingDefaultKey(Effect.succeed(defaultCount)));
}

const Listener = Schema.Struct({
    host: Schema.String.annotate({ description: "IP address to listen on" }),
    port: Port.annotate({ description: "TCP port to listen on" })
});

const Limits = Schema.Struct({
    bodyBytes: bytes(1_048_576, "maximum size of a caller's request body"),
    headerBytes: bytes(16_384, "maximum size of a caller's request head"),
    heldAnswerBytes: bytes(
        262_144,
        "maximum size of a response that is buffered until complete; a larger one is streamed"
    ),
    headTimeoutMillis: millisWithDefault(10_000, "timeout for receiving a caller's request head"),
    bodyTimeoutMillis: millisWithDefault(20_000, "timeout for receiving a caller's complete request"),
    idleConnectionMillis: millisWithDefault(60_000, "idle timeout of a caller's connection"),
    callerConnections: countWithDefault(
        4_000,
        "maximum number of open connections from callers; beyond it, the one longest without a request is closed"
    ),
    clientMemoryBytes: bytes(
        67_108_864,
        "memory for what callers and peers have sent and not read, all together; what takes most is refused first"
    ),
    connectionsPerServer: countWithDefault(400, "maximum number of open connections to one backend server")
});

const Timing = Schema.Struct({
    heartbeatMillis: millisWithDefault(
        500,
        "interval of heartbeats to each sibling; four times as long to other peers"
    ),
    leaseMillis: millisWithDefault(3_000, "how long ownership of slots remains valid after its last confirmation"),
    instanceListMillis: millisWithDefault(1_000, "polling interval of the platform's instance list"),
    assignmentMillis: millisWithDefault(1_000, "polling interval of the failure domain's assignment row"),
    configurationMillis: millisWithDefault(1_000, "polling interval for a newer configuration"),
    lookupLifeMillis: millisWithDefault(5_000, "mean time to live of a look-up response"),
    drainMillis: millisWithDefault(10_000, "maximum duration of a graceful shutdown"),
    connectionIdleMillis: millisWithDefault(1_000, "idle time after which a backend connection is no longer reused"),
    cancelHoldMillis: millisWithDefault(100, "how long a cancelled request keeps its slot"),
    mintEpochMillis: millisWithDefault(60_000, "duration of a mint epoch of operation prefixes"),
    operationMemoryMillis: millisWithDefault(600_000, "how long an operation is remembered after its start")
});

const SeedPeer = Schema.Struct({
    instance: Name,
    failureDomain: Name,
    region: Name,
    callerAddress: Schema.String.annotate({ description: "host:port for callers" }),
    peerAddress: Schema.String.annotate({ description: "host:port for other entry instances" })
});

/** Schema of the settings file of an entry instance. */
export const Settings = Schema.Struct({
    instance: Name.annotate({ description: "name of this entry instance, unique in the deployment" }),
    failureDomain: Name.annotate({ description: "failure domain this instance runs in" }),
    region: Name.annotate({ description: "region of that failure domain" }),
    callers: Listener.annotate({ description: "listener for callers, operators and health checks" }),
    peers: Listener.annotate({ description: "listener for other entry instances" }),
    platform: Schema.Struct({
        url: Schema.String.check(Schema.isPattern(/^http:\/\/[^/]+$/)).annotate({
            description: "base URL of the platform's table service, object store and instance list"
        }),
        timeoutMillis: millisWithDefault(
            1_000,
            "timeout of one call to the platform; at most a third of a lease"
        )
    }),
    seedPeers: Schema.Array(SeedPeer)
        .annotate({
            description: "instances that provide the configuration while the platform's instance list cannot be read"
        })
        .pipe(Schema.withDecodingDefaultKey(Effect.succeed([]))),
    keys: Schema.Struct({
        operator: SecretKey.annotate({ description: "key required in operator commands; at least 16 characters" }),
        peer: SecretKey.annotate({
            description: "key with which entry instances authenticate to each other; at least 16 characters"
        })
    }),
    metrics: Schema.optionalKey(
        Schema.Struct({ host: Schema.String, port: Port }).annotate({
            description: "address of a statsd daemon, over UDP"
        })
    ),
    logLevel: Schema.Literals(["debug", "info", "warn", "error"])
        .annotate({ description: "minimum severity of log lines" })
        .pipe(Schema.withDecodingDefaultKey(Effect.succeed("info" as const))),
    recordDecisions: Schema.Boolean
        .annotate({ description: "log every choice of a backend server, for endivetrace replay" })
        .pipe(Schema.withDecodingDefaultKey(Effect.succeed(false))),
    limits: Limits.annotate({ description: "limits on sizes and connection counts" }).pipe(
        Schema.withDecodingDefaultKey(Effect.succeed({}))
    ),
    timing: Timing.annotate({ description: "intervals and timeouts" }).pipe(
        Schema.withDecodingDefaultKey(Effect.succeed({}))
    )
});

/** Settings of an entry instance with every default filled in. */
export type InstanceSettings = typeof Settings.Type;
