import { range } from "@endivebridge/shared";

/** Size, network delays and services of a deployment. Stacklight and Gedeon are modelled at their current size. */
export interface Deployment {
    readonly name: string;
    readonly regions: readonly string[];
    readonly domainsPerRegion: number;
    readonly instancesPerDomain: number;
    readonly interDomainDelayMillis: number;
    readonly interRegionDelayMillis: number;
    readonly clientDelayMillis: number;
    readonly interRegionMegabitsPerSecond: number;
    readonly services: readonly DeployedService[];
}

/** Backend servers, paths and share of writes of one service. */
export interface DeployedService {
    readonly service: string;
    readonly servers: number;
    readonly slots: number;
    readonly readPath: string;
    readonly writePath: string;
    readonly writeShare: number;
}

/** Stacklight: the circulation and patron account services in fraser, kootenay and northcoast. */
export const stacklight: Deployment = {
    name: "stacklight",
    regions: ["fraser", "kootenay", "northcoast"],
    domainsPerRegion: 2,
    instancesPerDomain: 2,
    interDomainDelayMillis: 1.5,
    interRegionDelayMillis: 55,
    clientDelayMillis: 8,
    interRegionMegabitsPerSecond: 280,
    services: [
        { service: "circulation", servers: 30, slots: 4, readPath: "/holds", writePath: "/checkouts", writeShare: 0.2 },
        { service: "patron", servers: 12, slots: 3, readPath: "/accounts", writePath: "/payments", writeShare: 0.2 }
    ]
};

/** Gedeon: the family desk and crew book services in addis, gondar and harar. */
export const gedeon: Deployment = {
    name: "gedeon",
    regions: ["addis", "gondar", "harar"],
    domainsPerRegion: 2,
    instancesPerDomain: 2,
    interDomainDelayMillis: 1,
    interRegionDelayMillis: 55,
    clientDelayMillis: 1,
    interRegionMegabitsPerSecond: 4_000,
    services: [
        { service: "family-desk", servers: 30, slots: 4, readPath: "/graves", writePath: "/orders", writeShare: 0.15 },
        { service: "crew-book", servers: 12, slots: 3, readPath: "/photos", writePath: "/treatments", writeShare: 0.3 }
    ]
};

/** One region with one instance, one server and no network delay, for measuring overhead alone. */
export function echoDeployment(slots: number): Deployment {
    return {
        name: "echo",
        regions: ["local"],
        domainsPerRegion: 1,
        instancesPerDomain: 1,
        interDomainDelayMillis: 0,
        interRegionDelayMillis: 0,
        clientDelayMillis: 0,
        interRegionMegabitsPerSecond: 10_000,
        services: [{ service: "echo", servers: 1, slots, readPath: "/echo", writePath: "/write", writeShare: 0 }]
    };
}

/** Returns stacklight or gedeon by name; undefined for any other name. */
export function findDeployment(name: string): Deployment | undefined {
    return [stacklight, gedeon].find(deployment => deployment.name === name);
}

/** Names of the failure domains of a region: the region and a number that starts at 1. */
export function failureDomainsOf(deployment: Deployment, region: string): readonly string[] {
    return range(deployment.domainsPerRegion).map(index => `${region}-${index + 1}`);
}

/** Name of a failure domain with the region that contains it. */
export interface PlacedDomain {
    readonly domain: string;
    readonly region: string;
}

/** All failure domains of a deployment, ordered by region. */
export function allFailureDomains(deployment: Deployment): readonly PlacedDomain[] {
    return deployment.regions.flatMap(region =>
        failureDomainsOf(deployment, region).map(domain => ({ domain, region }))
    );
}

/** First two octets of the client addresses of a region. */
export function clientNetworkPrefix(deployment: Deployment, region: string): string {
    return `127.${1 + deployment.regions.indexOf(region)}`;
}
