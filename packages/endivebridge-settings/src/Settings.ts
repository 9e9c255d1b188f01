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
    host: Schema.String.annotate({ description: "IP number to listen on" }),
    port: Port.annotate({ description: "TCP port to listen on" })
});

const Limits = Schema.Struct({
    bodyBytes: bytes(1_048_576, "largest request body taken from a caller"),
    headerBytes: bytes(16_384, "largest request head taken from a caller"),
    heldAnswerBytes: bytes(262_144, "largest answer held until whole; a larger one streams"),
    headTimeoutMillis: millisWithDefault(10_000, "longest time for a caller to send its request head"),
    bodyTimeoutMillis: millisWithDefault(20_000, "longest time for a caller to send its whole request"),
    idleConnectionMillis: millisWithDefault(60_000, "longest time a caller's connection may stay idle"),
    callerConnections: countWithDefault(4_000, "most open connections from callers"),
    connectionsPerServer: countWithDefault(400, "most open connections to one backend server")
});

const Timing = Schema.Struct({
    heartbeatMillis: millisWithDefault(
        500,
        "time between heartbeats to each sibling; four times as long to other peers"
    ),
    leaseMillis: millisWithDefault(3_000, "how long ownership of slots outlives its last confirmation"),
    instanceListMillis: millisWithDefault(1_000, "time between reads of the platform's instance list"),
    assignmentMillis: millisWithDefault(1_000, "time between reads of the failure domain's assignment row"),
    configurationMillis: millisWithDefault(1_000, "time between looks for a newer configuration"),
    lookupLifeMillis: millisWithDefault(5_000, "mean life of a look-up answer"),
    drainMillis: millisWithDefault(10_000, "longest graceful shutdown"),
    connectionIdleMillis: millisWithDefault(1_000, "idle time after which a backend connection is not used again"),
    cancelHoldMillis: millisWithDefault(100, "time a cancelled request goes on holding its slot"),
    mintEpochMillis: millisWithDefault(60_000, "length of a mint epoch of operation prefixes"),
    operationMemoryMillis: millisWithDefault(600_000, "how long an operation is remembered after it began")
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
    callers: Listener.annotate({ description: "where callers, operators and health checks connect" }),
    peers: Listener.annotate({ description: "where other entry instances connect" }),
    platform: Schema.Struct({
        url: Schema.String.check(Schema.isPattern(/^http:\/\/[^/]+$/)).annotate({
            description: "base URL of the platform's table service, object store and instance list"
        }),
        timeoutMillis: millisWithDefault(
            1_000,
            "longest wait for one answer of the platform; at most a third of a lease"
        )
    }),
    seedPeers: Schema.Array(SeedPeer)
        .annotate({ description: "instances to ask for configuration while the platform's list cannot be read" })
        .pipe(Schema.withDecodingDefaultKey(Effect.succeed([]))),
    keys: Schema.Struct({
        operator: SecretKey.annotate({ description: "key that operators' commands must bear; at least 16 characters" }),
        peer: SecretKey.annotate({ description: "key that entry instances show each other; at least 16 characters" })
    }),
    metrics: Schema.optionalKey(
        Schema.Struct({ host: Schema.String, port: Port }).annotate({ description: "statsd daemon, UDP" })
    ),
    logLevel: Schema.Literals(["debug", "info", "warn", "error"])
        .annotate({ description: "least severe log line written" })
        .pipe(Schema.withDecodingDefaultKey(Effect.succeed("info" as const))),
    recordDecisions: Schema.Boolean
        .annotate({ description: "write every choice of a server to the log, for endivetrace replay" })
        .pipe(Schema.withDecodingDefaultKey(Effect.succeed(false))),
    limits: Limits.annotate({ description: "sizes and counts" }).pipe(
        Schema.withDecodingDefaultKey(Effect.succeed({}))
    ),
    timing: Timing.annotate({ description: "intervals and time limits" }).pipe(
        Schema.withDecodingDefaultKey(Effect.succeed({}))
    )
});

/** Settings of an entry instance with every default filled in. */
export type InstanceSettings = typeof Settings.Type;
