import { clientNetworkPrefix, type Deployment, failureDomainsOf } from "./Deployment";

/** Operators' configuration, mutable so that a scenario can change it before it is written. */
export interface MutableConfiguration {
    regions: Record<string, { failureDomains: string[]; inflowCapRequestsPerSecond?: Record<string, number>; }>;
    services: Record<string, Record<string, unknown>>;
    clientBlocks: { block: string; region: string; }[];
    drains?: unknown[];
    links?: { from: string; to: string; bytesPerSecond: number; }[];
}

/** Creates the default configuration of a deployment, to which scenarios apply their changes. */
export function baseConfiguration(deployment: Deployment): MutableConfiguration {
    return {
        regions: Object.fromEntries(
            deployment.regions.map(region => [region, { failureDomains: [...failureDomainsOf(deployment, region)] }])
        ),
        services: Object.fromEntries(deployment.services.map(({ service, readPath }) => [
            service,
            {
                maximumDeadlineMillis: 20_000,
                idempotentRoutes: [{ method: "GET", pathPrefix: readPath }, { method: "GET", pathPrefix: "/poison" }]
            }
        ])),
        links: deployment.regions.flatMap(from =>
            deployment.regions.filter(to => to !== from).map(to => ({
                from,
                to,
                bytesPerSecond: deployment.interRegionMegabitsPerSecond * 125_000
            }))
        ),
        clientBlocks: deployment.regions.map(region => ({
            block: `${clientNetworkPrefix(deployment, region)}.0.0/16`,
            region
        }))
    };
}
