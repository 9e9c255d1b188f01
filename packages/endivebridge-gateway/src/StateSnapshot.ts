import { IpAddress, PortNumber, validEntries } from "@endivebridge/shared";
import type { BackendServer, TrafficConfiguration } from "@endivebridge/traffic";
import { array, boolean, Codec, type GetType, number, Right, string } from "purify-ts";

const RouteCodec = Codec.interface({
    name: string,
    host: string,
    pathPrefix: string,
    isIdempotent: boolean,
    timeoutMillis: number,
    objectiveMillis: number,
    priority: number,
    targets: array(Codec.interface({ service: string, weight: number })),
    maximumAttempts: number,
    hasAffinity: boolean,
    homeRegions: array(string)
});

/** JSON has no infinity; null stands for it. */
const NumberOrInfinity = Codec.custom<number>({
    decode: value => value === null ? Right(Infinity) : number.decode(value), // eslint-disable-line no-restricted-syntax
    encode: value => Number.isFinite(value) ? value : null // eslint-disable-line no-restricted-syntax
});

const ServiceCodec = Codec.interface({
    name: string,
    healthPath: string,
    maximumConnections: number,
    coldStartMillis: number,
    coldRequestsPerSecond: NumberOrInfinity
});

const ServerCodec = Codec.interface({
    id: string,
    service: string,
    host: IpAddress,
    port: PortNumber,
    failureDomain: string,
    region: string,
    slots: number,
    isLeaving: boolean,
    coldRemainingMillis: number,
    bornEpochMillis: number
});

/** Wire format of the state snapshot for a starting instance that cannot reach the platform's store. */
export const StateSnapshot = Codec.interface({
    version: number,
    routes: array(RouteCodec),
    services: array(ServiceCodec),
    callerLimits: Codec.interface({
        headerBytes: number,
        bodyBytes: number,
        headerTimeoutMillis: number,
        idleTimeoutMillis: number
    }),
    servers: validEntries(ServerCodec),
    evacuatedDomains: array(string)
});

/** State snapshot of one instance: configuration, backend servers and evacuations. */
export type StateSnapshot = GetType<typeof StateSnapshot>;

/** Builds a snapshot from the configuration, servers and evacuated failure domains. */
export function makeStateSnapshot(
    { version, routes, services, callerLimits }: TrafficConfiguration,
    servers: readonly BackendServer[],
    evacuatedDomains: Iterable<string>
): StateSnapshot {
    return {
        version,
        routes: routes.map(route => ({
            ...route,
            targets: [...route.targets],
            homeRegions: [...route.homeRegions]
        })),
        services: [...services.values()],
        callerLimits,
        servers: [...servers],
        evacuatedDomains: [...evacuatedDomains]
    };
}

/** Extracts the configuration from a snapshot. */
export function configurationOf({ version, routes, services, callerLimits }: StateSnapshot): TrafficConfiguration {
    return { version, routes, services: new Map(services.map(service => [service.name, service])), callerLimits };
}
