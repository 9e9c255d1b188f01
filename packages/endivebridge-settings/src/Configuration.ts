import { Effect, Schema } from "effect";

const Name = Schema.String.check(Schema.isPattern(/^[a-z0-9][a-z0-9-]{0,62}$/));
const NonNegativeNumber = Schema.Finite.check(Schema.isGreaterThanOrEqualTo(0));
const PositiveInteger = Schema.Int.check(Schema.isBetween({ minimum: 1, maximum: 10_000_000 }));
const Share = Schema.Finite.check(Schema.isBetween({ minimum: 0, maximum: 1 }));
const Block = Schema.String.check(Schema.isPattern(/^(\d{1,3}\.){3}\d{1,3}\/\d{1,2}$/));

function withDefault(schema: typeof PositiveInteger | typeof Share, value: number, description: string) {
    return schema.annotate({ description }).pipe(Schema.withDecodingDefaultKey(Effect.succeed(value)));
}

const Route = Schema.Struct({
    method: Schema.String.check(Schema.isPattern(/^[A-Z]{1,16}$/)).annotate({ description: "HTTP method" }),
    pathPrefix: Schema.String.check(Schema.isPattern(/^\//)).annotate({
        description: "path after the service name, matched as a prefix"
    })
});

const Service = Schema.Struct({
    idempotentRoutes: Schema.Array(Route).annotate({
        description: "routes that may run more than once; every other route runs at most once"
    }),
    deadlineMillis: withDefault(PositiveInteger, 2_000, "deadline of a request that does not specify one"),
    maximumDeadlineMillis: withDefault(PositiveInteger, 10_000, "maximum deadline that a caller may request"),
    queueWaitMillis: withDefault(
        PositiveInteger,
        250,
        "maximum expected wait for a slot; a request that would wait longer is rejected"
    ),
    retryShare: withDefault(Share, 0.1, "maximum share of requests that may be retried"),
    hedgeShare: withDefault(Share, 0.05, "maximum share of requests that may be hedged"),
    setAsideShare: withDefault(
        Share,
        0.34,
        "maximum share of its own backend servers that an instance may quarantine as slow"
    )
});

const Region = Schema.Struct({
    failureDomains: Schema.Array(Name).check(Schema.isMinLength(1)),
    inflowCapRequestsPerSecond: Schema.Record(Name, NonNegativeNumber)
        .annotate({ description: "for each service, maximum requests per second from other regions" })
        .pipe(Schema.withDecodingDefaultKey(Effect.succeed({})))
});

const RegionDrain = Schema.Struct({
    region: Name.annotate({ description: "region whose own traffic is moved to other regions" }),
    sharePerMinute: NonNegativeNumber.annotate({
        description: "share of the region's traffic that is moved per minute"
    }),
    startedAtEpochMillis: NonNegativeNumber.annotate({
        description: "wall-clock start time, displayed to operators and used to compute the share moved so far"
    })
});

const Link = Schema.Struct({
    from: Name.annotate({ description: "region that sends the bytes" }),
    to: Name.annotate({ description: "region that receives the bytes" }),
    bytesPerSecond: NonNegativeNumber.annotate({
        description: "bandwidth of the link in this direction, in bytes per second"
    })
});

/** Schema of the operators' configuration, a versioned document in the platform's table service. */
export const Configuration = Schema.Struct({
    regions: Schema.Record(Name, Region),
    services: Schema.Record(Name, Service),
    clientBlocks: Schema.Array(Schema.Struct({ block: Block, region: Name })),
    links: Schema.Array(Link)
        .annotate({ description: "bandwidths of the links between regions; all traffic shares them" })
        .pipe(Schema.withDecodingDefaultKey(Effect.succeed([]))),
    drains: Schema.Array(RegionDrain).pipe(Schema.withDecodingDefaultKey(Effect.succeed([])))
});

/** The operators' configuration with every default filled in. */
export type ConfigurationDocument = typeof Configuration.Type;

/** A declared service: its idempotent routes, deadlines, and retry, hedging and quarantine limits. */
export type ServiceDefinition = typeof Service.Type;

/** A declared region: its failure domains and its limits on requests from other regions. */
export type RegionDefinition = typeof Region.Type;

/** A planned drain of a region at a fixed rate. */
export type Drain = typeof RegionDrain.Type;
