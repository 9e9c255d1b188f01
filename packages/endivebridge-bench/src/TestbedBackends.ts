import { type BackendStandIn, startBackendStandIn } from "@endivebridge/standins";
import { allFailureDomains, type Deployment } from "./Deployment";

/** A stand-in backend server with its failure domain and region. */
export interface PlacedBackend {
    readonly standIn: BackendStandIn;
    readonly domain: string;
    readonly region: string;
}

/** Starts stand-ins for the backend servers of a deployment, spread evenly over its failure domains. */
export async function startBackends(
    deployment: Deployment,
    serviceMillis: number,
    random: () => number
): Promise<readonly PlacedBackend[]> {
    const domains = allFailureDomains(deployment);
    const placed: PlacedBackend[] = [];
    for (const { service, servers, slots } of deployment.services) {
        for (let index = 0; index < servers; index += 1) {
            const { domain, region } = domains[index % domains.length]!;
            const server = `${service}-${String(index + 1).padStart(2, "0")}`;
            const standIn = await startBackendStandIn({ server, service, region, slots, serviceMillis, random });
            placed.push({ standIn, domain, region });
        }
    }
    return placed;
}
