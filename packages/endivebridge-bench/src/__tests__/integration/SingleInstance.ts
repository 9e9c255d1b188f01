import { type EndlessResponse, type EndlessStandIn, startEndlessStandIn } from "@endivebridge/standins";
import type { Deployment } from "../../Deployment";
import type { Testbed } from "../../Testbed";
import { type InstanceView, startSmallTestbed, waitUntil } from "./SmallTestbed";

const deployment: Deployment = {
    name: "single",
    regions: ["east"],
    domainsPerRegion: 1,
    instancesPerDomain: 1,
    interDomainDelayMillis: 0,
    interRegionDelayMillis: 0,
    clientDelayMillis: 0,
    interRegionMegabitsPerSecond: 280,
    services: [
        { service: "circulation", servers: 1, slots: 4, readPath: "/holds", writePath: "/checkouts", writeShare: 0 }
    ]
};

const load = "{\"inFlight\":0,\"slots\":4}";

/** One instance in front of two backend servers that send chosen bytes. */
export interface SingleInstance {
    readonly testbed: Testbed;
    readonly standIns: readonly EndlessStandIn[];
    readonly close: () => Promise<void>;
}

/** Starts an instance and two servers that respond to each request with the bytes that `respond` returns. */
export async function startSingleInstance(respond: () => string | EndlessResponse): Promise<SingleInstance> {
    const testbed = await startSmallTestbed({ deployment });
    const entry = testbed.instances[0]!;
    const standIns = await Promise.all([0, 1].map(() =>
        startEndlessStandIn({
            requestIdHeader: "Endivebridge-Request",
            respond: id => id === "" ? `HTTP/1.1 200 OK\r\nContent-Length: ${load.length}\r\n\r\n${load}` : respond()
        })
    ));
    const { domain: failureDomain, region, callerAddress, peerAddress } = entry;
    testbed.platform.setInstances([
        { kind: "entry", instance: entry.instance, failureDomain, region, state: "live", callerAddress, peerAddress },
        ...standIns.map(({ port }, index) => ({
            kind: "backend",
            instance: `endless-${index}`,
            failureDomain,
            region,
            state: "live",
            service: "circulation",
            address: `127.0.0.1:${port}`,
            slots: 4
        }))
    ]);
    await waitUntil(async () => {
        const view = await testbed.queryOperatorApi(entry, "operator/instance") as InstanceView;
        const usable = view.services[0]!.servers.filter(({ usableSlots }) => usableSlots > 0);
        return usable.length === 2 && usable.every(({ server }) => server.startsWith("endless"));
    });
    return {
        testbed,
        standIns,
        close: async () => {
            await testbed.close();
            await Promise.all(standIns.map(standIn => standIn.close()));
        }
    };
}
