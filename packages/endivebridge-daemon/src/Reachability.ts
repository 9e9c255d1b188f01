import { registerConnectionProbes, type Teardown } from "@endivebridge/shared";
import type { Context } from "./Context";

/** Records whether a new connection to a backend server could be opened. */
export function recordConnection(context: Context, service: string, server: string, isOpen: boolean): void {
    if (!context.reachability.recordConnection(service, server, isOpen)) {
        return;
    }
    const cutOff = context.reachability.isCutOff(service);
    context.log.warn(
        { service, cutOff },
        cutOff
            ? "no connections to the backend servers of the service; forwarding its requests to peers"
            : "backend servers of the service accept connections again"
    );
    const { pool } = context.services.get(service)!;
    if (cutOff) {
        // Waiting requests search for a free slot at a peer.
        pool.redirectWaiters(pool.waiting());
        return;
    }
    // The failures were those of this instance's links; the servers had no fault.
    pool.servers().forEach(owned => owned.unreachableUntilMillis = 0);
}

/** Probes one server of each service that is cut off, so that the end of a partition is noticed. */
export function registerReachabilityProbes(context: Context): Teardown {
    return registerConnectionProbes({
        chooseTargets: () =>
            context.reachability.cutOffServices().flatMap(service => {
                const owned = context.services.get(service)?.pool.servers() ?? [];
                const chosen = owned[Math.floor(Math.random() * owned.length)];
                if (chosen === undefined) {
                    context.reachability.forget(service);
                    return [];
                }
                const separator = chosen.address.lastIndexOf(":");
                return [{
                    service,
                    server: chosen.server,
                    host: chosen.address.slice(0, separator),
                    port: Number(chosen.address.slice(separator + 1))
                }];
            }),
        onOutcome: ({ service, server }, isOpen) => recordConnection(context, service, server, isOpen)
    });
}
