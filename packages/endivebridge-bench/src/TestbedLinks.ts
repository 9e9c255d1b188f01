import { type Link, makeSharedRate, openLink, type SharedRate } from "@endivebridge/standins";
import { allFailureDomains, type Deployment, type PlacedDomain } from "./Deployment";
import type { InstanceProcess } from "./InstanceProcesses";
import type { PlacedBackend } from "./TestbedBackends";

/** Endpoints that the links connect, and which optional links are opened. */
export interface TestbedLinkOptions {
    readonly deployment: Deployment;
    readonly instances: readonly InstanceProcess[];
    readonly backends: readonly PlacedBackend[];
    readonly platformPort: number;
    readonly hasBackendLinks: boolean;
    readonly hasSiblingLinks: boolean;
}

/** Simulated network links of a testbed, with the addresses that lead through them. */
export interface TestbedLinks {
    /** Links to entry instances, by `source failure domain>target instance`. */
    readonly peerLinks: Map<string, Link>;
    /** Links from callers to entry instances, by `caller region>instance`. */
    readonly callerLinks: Map<string, Link>;
    /** Links from failure domains to the platform, by failure domain. */
    readonly platformLinks: Map<string, Link>;
    /** Links to backend servers, by server; empty unless requested. */
    readonly backendLinks: Map<string, Link>;
    /** Peer addresses by source failure domain: from the real address to the address of the link. */
    readonly views: Record<string, Record<string, string>>;
    /** Entry addresses by caller region: from the real address to the address of the link. */
    readonly routes: Record<string, Record<string, string>>;
    /** Opens a link from callers of a region to an address in that region, with the client delay. */
    readonly openCallerRoute: (region: string, address: string) => Promise<void>;
    readonly close: () => Promise<void>;
}

function makeInterRegionRates(deployment: Deployment): ReadonlyMap<string, SharedRate> {
    const rates = new Map<string, SharedRate>();
    for (const from of deployment.regions) {
        for (const to of deployment.regions.filter(region => region !== from)) {
            rates.set(`${from}>${to}`, makeSharedRate(deployment.interRegionMegabitsPerSecond));
        }
    }
    return rates;
}

function delayBetween(deployment: Deployment, from: PlacedDomain, to: PlacedDomain): number {
    if (from.domain === to.domain) {
        return 0;
    }
    return from.region === to.region ? deployment.interDomainDelayMillis : deployment.interRegionDelayMillis;
}

/** Opens every link with the delays and bandwidth limits of the deployment. */
export async function openTestbedLinks(options: TestbedLinkOptions): Promise<TestbedLinks> {
    const { deployment } = options;
    const domains = allFailureDomains(deployment);
    const platformDomain = domains[0]!;
    const regionRates = makeInterRegionRates(deployment);
    const peerLinks = new Map<string, Link>();
    const callerLinks = new Map<string, Link>();
    const platformLinks = new Map<string, Link>();
    const backendLinks = new Map<string, Link>();
    const views: Record<string, Record<string, string>> = {};
    const routes: Record<string, Record<string, string>> = {};

    const openShapedLink = (fromRegion: string, toRegion: string, target: string, delayMillis: number) =>
        openLink({
            target,
            forward: { delayMillis, rate: regionRates.get(`${fromRegion}>${toRegion}`) },
            backward: { delayMillis, rate: regionRates.get(`${toRegion}>${fromRegion}`) }
        });

    const openPeerLink = async (viewer: PlacedDomain, target: InstanceProcess) => {
        const delayMillis = delayBetween(deployment, viewer, target);
        const link = await openShapedLink(viewer.region, target.region, target.peerAddress, delayMillis);
        peerLinks.set(`${viewer.domain}>${target.instance}`, link);
        (views[viewer.domain] ??= {})[target.peerAddress] = `127.0.0.1:${link.port}`;
    };

    const openCallerLink = async (region: string, name: string, toRegion: string, address: string) => {
        const extraDelayMillis = region === toRegion ? 0 : deployment.interRegionDelayMillis;
        const link = await openShapedLink(
            region,
            toRegion,
            address,
            deployment.clientDelayMillis + extraDelayMillis
        );
        callerLinks.set(`${region}>${name}`, link);
        (routes[region] ??= {})[address] = `127.0.0.1:${link.port}`;
    };

    for (const each of domains) {
        const delayMillis = delayBetween(deployment, each, platformDomain);
        const target = `127.0.0.1:${options.platformPort}`;
        platformLinks.set(each.domain, await openShapedLink(each.region, platformDomain.region, target, delayMillis));
    }
    for (const target of options.instances) {
        for (const viewer of domains.filter(each => options.hasSiblingLinks || each.domain !== target.domain)) {
            await openPeerLink(viewer, target);
        }
        for (const region of deployment.regions) {
            await openCallerLink(region, target.instance, target.region, target.callerAddress);
        }
    }
    for (const { standIn } of options.hasBackendLinks ? options.backends : []) {
        const direction = { delayMillis: 0, rate: undefined };
        const target = `127.0.0.1:${standIn.port}`;
        backendLinks.set(standIn.server, await openLink({ target, forward: direction, backward: direction }));
    }
    return {
        peerLinks,
        callerLinks,
        platformLinks,
        backendLinks,
        views,
        routes,
        openCallerRoute: (region, address) => openCallerLink(region, address, region, address),
        close: async () => {
            const links = [peerLinks, callerLinks, platformLinks, backendLinks].flatMap(each => [...each.values()]);
            await Promise.all(links.map(link => link.close()));
        }
    };
}
