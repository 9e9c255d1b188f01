import { makePlatformClient, type PlatformClient } from "@endivebridge/platform";
import { type BackendRecord, type PlatformStandIn, startPlatformStandIn } from "@endivebridge/standins";
import { Effect } from "effect";
import { clientNetworkPrefix, type Deployment } from "./Deployment";
import { type InstanceControl, type InstanceProcess, makeInstanceControl, planInstances } from "./InstanceProcesses";
import type { LoadResult, LoadStream } from "./LoadPlan";
import { makeRandom } from "./Random";
import { runLoadPlan } from "./RunLoadPlan";
import { type PlacedBackend, startBackends } from "./TestbedBackends";
import { baseConfiguration, type MutableConfiguration } from "./TestbedConfiguration";
import { openTestbedLinks, type TestbedLinks } from "./TestbedLinks";

/** Deployment, seed and overrides of a testbed. */
export interface TestbedOptions {
    readonly deployment: Deployment;
    readonly seed: number;
    readonly serviceMillis: number;
    /** Changes the operators' configuration before the instances start. */
    readonly configure?: (configuration: MutableConfiguration) => void;
    /** Overrides of the timing settings of every instance. */
    readonly timing?: Readonly<Record<string, number>>;
    /** Overrides of the limits in the settings of every instance. */
    readonly limits?: Readonly<Record<string, number>>;
    /** Arguments of Node.js for every instance. */
    readonly nodeArguments?: readonly string[];
    /** Whether connections to each backend server pass through a separate link. */
    readonly hasBackendLinks?: boolean;
    /** Whether connections between instances of the same failure domain also pass through links. */
    readonly hasSiblingLinks?: boolean;
}

/** A complete deployment on loopback: stand-in platform and servers, network links and entry instances. */
export interface Testbed extends
    Pick<
        TestbedLinks,
        "peerLinks" | "callerLinks" | "platformLinks" | "backendLinks" | "views" | "openCallerRoute"
    >,
    Omit<InstanceControl, "awaitReady"> {
    readonly deployment: Deployment;
    readonly platform: PlatformStandIn;
    readonly platformClient: PlatformClient;
    readonly backends: readonly PlacedBackend[];
    readonly instances: readonly InstanceProcess[];
    readonly leavingServers: Set<string>;
    /** Updates the platform's instance list to the current state of instances and servers. */
    readonly publishInstanceList: () => void;
    readonly runLoad: (streams: readonly LoadStream[], options: RunOptions) => Promise<LoadResult>;
    /** Partitions a failure domain from the other domains and the platform, or reconnects it. */
    readonly setPartitioned: (domain: string, partitioned: boolean) => void;
    readonly records: () => readonly BackendRecord[];
}

/** Duration, seed and entry addresses of a load run. */
export interface RunOptions {
    readonly seconds: number;
    readonly warmUpSeconds?: number;
    readonly rampSeconds?: number;
    readonly seed?: number;
    readonly onProgress?: (answered: number, failed: number) => void;
    /** Entry addresses that callers of each region start with, when a baseline replaces the entry instances. */
    readonly entryAddresses?: Readonly<Record<string, readonly string[]>>;
}

const callersPerRegion = 48;
const defaultRampSeconds = 4;

type ListedParts = Pick<Testbed, "instances" | "backends" | "backendLinks" | "leavingServers">;

function makeInstanceList(parts: ListedParts): readonly unknown[] {
    const entries = parts.instances.filter(each => each.listedState !== "absent").map(each => ({
        kind: "entry",
        instance: each.instance,
        failureDomain: each.domain,
        region: each.region,
        state: each.listedState,
        callerAddress: each.callerAddress,
        peerAddress: each.peerAddress
    }));
    const servers = parts.backends.map(({ standIn, domain, region }) => ({
        kind: "backend",
        instance: standIn.server,
        failureDomain: domain,
        region,
        state: parts.leavingServers.has(standIn.server) ? "leaving" : "live",
        service: standIn.service,
        address: `127.0.0.1:${parts.backendLinks.get(standIn.server)?.port ?? standIn.port}`,
        slots: standIn.slots
    }));
    return [...entries, ...servers];
}

function writeInitialConfiguration(client: PlatformClient, configuration: MutableConfiguration): Promise<unknown> {
    const text = JSON.stringify(configuration, undefined, 4);
    return Effect.runPromise(
        client.writeRow("configuration/0000000001", 0, { text, author: "bench", previousVersion: 0 })
    );
}

function setLinksPartitioned(
    links: TestbedLinks,
    instances: readonly InstanceProcess[],
    domain: string,
    partitioned: boolean
): void {
    const domainInstances = new Set(instances.filter(each => each.domain === domain).map(each => each.instance));
    for (const [name, link] of links.peerLinks) {
        const [viewer = "", target = ""] = name.split(">");
        if (viewer === domain || domainInstances.has(target)) {
            link.isPartitioned = partitioned;
        }
    }
    links.platformLinks.get(domain)!.isPartitioned = partitioned;
}

/** Builds and starts a testbed; resolves when every instance has usable slots of every service. */
export async function startTestbed(options: TestbedOptions): Promise<Testbed> {
    const { deployment, seed } = options;
    const random = makeRandom(seed);
    const platform = await startPlatformStandIn(0, random);
    const platformClient = makePlatformClient({ url: `http://127.0.0.1:${platform.port}`, timeoutMillis: 2_000 });
    const backends = await startBackends(deployment, options.serviceMillis, random);
    const instances = await planInstances(deployment);
    const links = await openTestbedLinks({
        deployment,
        instances,
        backends,
        platformPort: platform.port,
        hasBackendLinks: options.hasBackendLinks === true,
        hasSiblingLinks: options.hasSiblingLinks === true
    });
    const control = makeInstanceControl(instances, links, options);
    const leavingServers = new Set<string>();
    const parts: ListedParts = { instances, backends, backendLinks: links.backendLinks, leavingServers };
    const publishInstanceList = () => platform.setInstances(makeInstanceList(parts));
    platform.setAddressMappings(links.views);
    publishInstanceList();
    const configuration = baseConfiguration(deployment);
    options.configure?.(configuration);
    await writeInitialConfiguration(platformClient, configuration);

    const close = async () => {
        await control.close();
        await links.close();
        await Promise.all(backends.map(each => each.standIn.close()));
        await platform.close();
    };

    const allEntryAddresses = Object.fromEntries(
        deployment.regions.map(region => [region, instances.map(each => each.callerAddress)])
    );
    const runLoad = (streams: readonly LoadStream[], run: RunOptions): Promise<LoadResult> =>
        runLoadPlan({
            seed: run.seed ?? seed,
            seconds: run.seconds,
            warmUpSeconds: run.warmUpSeconds ?? defaultRampSeconds,
            rampSeconds: run.rampSeconds ?? defaultRampSeconds,
            streams,
            entryAddresses: run.entryAddresses ?? allEntryAddresses,
            routes: links.routes,
            networks: Object.fromEntries(
                deployment.regions.map(region => [region, clientNetworkPrefix(deployment, region)])
            ),
            callersPerRegion
        }, run.onProgress);

    instances.forEach(control.launch);
    try {
        await Promise.all(instances.map(control.awaitReady));
    }
    catch (error) {
        await close();
        throw error;
    }
    return {
        ...control,
        ...links,
        ...parts,
        deployment,
        platform,
        platformClient,
        publishInstanceList,
        runLoad,
        setPartitioned: (domain, partitioned) => setLinksPartitioned(links, instances, domain, partitioned),
        records: () => backends.map(each => each.standIn.record),
        close
    };
}
