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
        description: "path after the service's name, matched as a prefix"
    })
});

const Service = Schema.Struct({
    idempotentRoutes: Schema.Array(Route).annotate({
        description: "routes that may run more than once; every other route runs at most once"
    }),
    deadlineMillis: withDefault(PositiveInteger, 2_000, "deadline of a request that names none"),
    maximumDeadlineMillis: withDefault(PositiveInteger, 10_000, "longest deadline a caller may ask for"),
    queueWaitMillis: withDefault(PositiveInteger, 250, "longest expected wait for a slot before a request is refused"),
    retryShare: withDefault(Share, 0.1, "retries as a share of requests, at most"),
    hedgeShare: withDefault(Share, 0.05, "hedged requests as a share of requests, at most"),
    setAsideShare: withDefault(Share, 0.34, "share of its own backend servers an instance may set aside as slow")
});

const Region = Schema.Struct({
    failureDomains: Schema.Array(Name).check(Schema.isMinLength(1)),
    inflowCapRequestsPerSecond: Schema.Record(Name, NonNegativeNumber)
        .annotate({ description: "for each service, requests a second that may enter from other regions" })
        .pipe(Schema.withDecodingDefaultKey(Effect.succeed({})))
});

const RegionDrain = Schema.Struct({
    region: Name.annotate({ description: "region whose own traffic moves away" }),
    sharePerMinute: NonNegativeNumber.annotate({ description: "share of its traffic moved each minute" }),
    startedAtEpochMillis: NonNegativeNumber.annotate({ description: "wall-clock start, for people and for the rate" })
});

const Link = Schema.Struct({
    from: Name.annotate({ description: "region where bytes leave" }),
    to: Name.annotate({ description: "region where they arrive" }),
    bytesPerSecond: NonNegativeNumber.annotate({
        description: "bytes a second that the link carries in this direction"
    })
});

/** Schema of the operators' configuration, one versioned document in the platform's table service. */
export const Configuration = Schema.Struct({
    regions: Schema.Record(Name, Region),
    services: Schema.Record(Name, Service),
    clientBlocks: Schema.Array(Schema.Struct({ block: Block, region: Name })),
    links: Schema.Array(Link)
        .annotate({ description: "rates of the links between regions, shared by all traffic" })
        .pipe(Schema.withDecodingDefaultKey(Effect.succeed([]))),
    drains: Schema.Array(RegionDrain).pipe(Schema.withDecodingDefaultKey(Effect.succeed([])))
});

/** The operators' configuration with every default filled in. */
export type ConfigurationDocument = typeof Configuration.Type;

/** One declared service. */
export type ServiceDefinition = typeof Service.Type;

/** One declared region. */
export type RegionDefinition = typeof Region.Type;

/** One planned drain. */
export type Drain = typeof RegionDrain.Type;
