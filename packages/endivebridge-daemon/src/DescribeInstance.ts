import { monotonicMillis } from "@endivebridge/shared";
import type { Context, ServiceState } from "./Context";
import { describeDrains } from "./Drains";
import { freeInflow, uncappedRequestsPerSecond } from "./Inflow";

function describeServers(context: Context, service: ServiceState) {
    return service.pool.servers().map(owned => ({
        server: owned.server,
        service: service.service,
        usableSlots: owned.usableSlots,
        inFlight: owned.inFlight,
        latencyMillis: Math.round((owned.latency.estimateMillis ?? 0) * 10) / 10,
        lateShare: Math.round(owned.health.lateShare * 100) / 100,
        setAside: owned.health.setAside,
        leaving: owned.leaving,
        reportedInFlight: context.loadReports.get(owned.server)?.inFlight
    }));
}

function describeServices(context: Context) {
    return [...context.services.values()].map(service => ({
        service: service.service,
        waiting: service.pool.waiting(),
        requestsPerSecond: Object.fromEntries(service.requestRates.rates()),
        inflowCapRequestsPerSecond: service.inflowShare.current,
        inflowFree: freeInflow(service) === uncappedRequestsPerSecond ? undefined : freeInflow(service),
        servers: describeServers(context, service)
    }));
}

function describePeers(context: Context) {
    const nowMillis = monotonicMillis();
    return [...context.peers.values()].map(peer => ({
        instance: peer.instance,
        incarnation: peer.incarnation,
        failing: peer.failing,
        leaving: peer.leaving,
        heardMillisAgo: Math.round(nowMillis - peer.lastContactAtMillis)
    }));
}

/** Builds the state report of this instance that operators and the bench read. */
export function describeInstance(context: Context) {
    const usage = process.cpuUsage();
    const configuration = context.configuration.read();
    return {
        instance: context.settings.instance,
        incarnation: context.incarnation,
        failureDomain: context.settings.failureDomain,
        region: context.settings.region,
        configurationVersion: configuration?.version ?? 0,
        leaseHeld: context.lease.holds(monotonicMillis()),
        shuttingDown: context.shutdown.read(),
        platformReachable: context.platform.failedSinceMillis() === undefined,
        instanceListAgeMillis: Math.round(monotonicMillis() - context.instances.read().readAtMillis),
        cpuMicros: usage.user + usage.system,
        residentBytes: process.memoryUsage.rss(),
        operationsRemembered: context.journal.size(),
        operationsInDoubt: context.journal.inDoubt().slice(0, 100),
        struckRequests: context.crashRecords.quarantined(monotonicMillis()),
        drains: describeDrains(context),
        peers: describePeers(context),
        services: describeServices(context),
        totals: context.metrics.totals()
    };
}

/** State report of one instance, as sent to operators. */
export type InstanceDescription = ReturnType<typeof describeInstance>;
