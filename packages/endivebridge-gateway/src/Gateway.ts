import { makeCrashRecords, makeServiceReachability } from "@endivebridge/core";
import {
    type ClientLimits,
    isRefusingConnections,
    makeClientLimits,
    makeHeldMemory,
    monotonicMillis,
    registerConnectionProbes,
    type Teardown
} from "@endivebridge/shared";
import {
    type BackendServer,
    initialEstimateMillis,
    isLeaving,
    makeAttemptAgeEstimator,
    makeHedging,
    makeMembers,
    makePlacement,
    makeRegionBalance,
    makeRequestQueue,
    makeRetryBudget,
    makeServerPool,
    makeServiceTimeEstimates,
    makeTrafficSplit,
    type MemberRecord,
    type RetryBudgetLimits,
    type Route,
    type TrafficConfiguration
} from "@endivebridge/traffic";
import { randomBytes } from "node:crypto";
import { applyCallerLimits, type CallerServerParts, makeCallerServer } from "./CallerServer";
import { makeColdSharers } from "./ColdSharers";
import { makeConfigurationCatchUp } from "./ConfigurationCatchUp";
import type { Dialect } from "./Dialect";
import { type Directory, makeDirectory } from "./Directory";
import type { EventLog } from "./EventLog";
import type { GatewayMetrics } from "./GatewayMetrics";
import { makeInstanceCount } from "./InstanceCount";
import { makeKnownState } from "./KnownState";
import { memberLivenessMillis, startPeerExchange } from "./PeerExchange";
import { isForwardedRequest, makePeerForwarding, readForwardedRequest, refuseUnknownSender } from "./PeerForwarding";
import { makeRateLimitReports } from "./RateLimitReports";
import { makeRateLimitShares } from "./RateLimitSharing";
import { makeRegionBalancing } from "./RegionBalancing";
import { runRequest } from "./RunRequest";
import { ServerConnections } from "./ServerConnections";
import { fetchSnapshot, type SnapshotSource, startPeerServer, startSnapshotRequests } from "./SnapshotTransfer";
import { makeStartupWait } from "./StartupWait";
import { configurationOf } from "./StateSnapshot";
import { makeTableVersions, type TableConfirmation } from "./TableVersions";
import { makeUnreadAnswers } from "./UnreadAnswers";
import { clearFailures } from "./UpdateServerStatistics";

/** Settings of one gateway. */
export interface GatewaySettings {
    readonly own: MemberRecord;
    readonly callerHost: string;
    readonly callerPort: number;
    readonly regionOfDomain: ReadonlyMap<string, string>;
    readonly seeds: readonly { readonly host: string; readonly port: number; }[];
    readonly retryBudget: RetryBudgetLimits;
    /** Largest share of a region's requests that may move to another region within two seconds. */
    readonly shiftShareInTwoSeconds: number;
    /** Time between the stop signal and the forced end of the process. */
    readonly stopTimeoutMillis: number;
    /** Memory that the process may use. */
    readonly memoryBytes: number;
    /** Descriptors that the process may open. */
    readonly maxDescriptors: number;
}

/** One running gateway: commands that change its state, and queries. */
export interface Gateway {
    /** Applies a configuration unless its version is the current one or older. */
    readonly applyConfiguration: (configuration: TrafficConfiguration) => void;
    readonly upsertServer: (server: BackendServer) => void;
    readonly removeServer: (id: string, reason: string) => void;
    readonly serverIds: () => readonly string[];
    readonly setEvacuated: (failureDomain: string, isEvacuated: boolean) => void;
    readonly evacuatedDomains: () => readonly string[];
    /** Records whether the platform's store is unavailable or reachable. */
    readonly setStoreUnavailable: (isUnavailable: boolean) => void;
    /** Records the newest version read from a table of the store and its era, which are sent to peers. */
    readonly recordTableVersion: (table: string, version: number, era: number) => void;
    /** Registers a listener for tables of which a peer has read a newer version or a later era than this instance. */
    readonly registerNewerTableVersionListener: (listener: (table: string, version: number) => void) => Teardown;
    /** Records that all changes of a table of the store were known, which is sent to peers. */
    readonly recordTableConfirmation: (table: string, confirmation: TableConfirmation) => void;
    /** Registers a listener for the confirmations of tables that peers report. */
    readonly registerTableConfirmationListener: (
        listener: (table: string, confirmation: TableConfirmation) => void
    ) => Teardown;
    /** Whether some live member has had access to the store for at least this long. */
    readonly hasMemberWithStoreAccess: (millis: number) => boolean;
    /** Adds the instances that the platform lists; without other ones, this instance counts as alone. */
    readonly addListedMembers: (records: readonly MemberRecord[]) => void;
    readonly isReady: () => boolean;
    readonly directory: Directory;
    /** Limits for the connections of all servers that clients reach. */
    readonly clientLimits: ClientLimits;
    /** Shuts down gracefully: resolves when requests in flight are finished or the stop time is nearly over. */
    readonly stop: () => Promise<void>;
}

/** Part of the permitted change that planned shifts use; the rest is a margin, as instances see different requests. */
const plannedShiftFraction = 0.6;
/** Part of the permitted change reserved for requests that find no free slot in their assigned region. */
const overflowShiftFraction = 0.25;
/** A new connection inside the region costs about a millisecond, so idle connections are reused only briefly. */
const maxIdleMillis = 2_000;
/** A new connection to another region costs a round trip of about a tenth of a second. */
const maxIdleRemoteMillis = 6_000;
/** Interval at which the utilization of the regions is compared. */
const balanceIntervalMillis = 200;
/** Interval at which queued requests are checked, besides each time that a slot is freed. */
const queueCheckIntervalMillis = 25;
/** Slots freed within this time are offered as one batch; short compared with the duration of any request. */
const slotBatchMillis = 4;
/** Changes within this time are reported to peers in one message. */
const announcementBatchMillis = 5;
/** Round trip to another region as stated for both deployments, 55 ms one way; not measured at run time. */
const otherRegionRoundTripMillis = 110;
/** An idle instance stays until this long before the forced end, as callers still connect after older look-ups. */
const earliestExitBeforeEndMillis = 2_000;
/** The gateway stops this long before the forced end of the process, even with requests still open. */
const endMarginMillis = 800;
const reportIntervalMillis = 5_000;
/** Share of the process's memory for what callers have sent and not read; garbage takes about as much again. */
const clientMemoryShare = 0.2;
/** Descriptors that the platform reserves for files. */
const fileDescriptors = 200;
/** Shares of the other descriptors for connections that callers and peers open; those to servers take the rest. */
const callerDescriptorShare = 0.7;
const peerDescriptorShare = 0.1;

/** Wires the components of a gateway and starts its servers and timers. */
export function startGateway(
    settings: GatewaySettings,
    dialect: Dialect,
    log: EventLog,
    metrics: GatewayMetrics
): Gateway {
    const { own } = settings;
    const pool = makeServerPool();
    const members = makeMembers(own.name, (record, known) => memberLivenessMillis(own.region, record, known));
    const crashRecords = makeCrashRecords(Math.random);
    const estimates = makeServiceTimeEstimates();
    const requestQueue = makeRequestQueue();
    const retryBudget = makeRetryBudget(settings.retryBudget);
    const hedging = makeHedging();
    const trafficSplit = makeTrafficSplit(Math.random);
    const balance = makeRegionBalance(
        settings.shiftShareInTwoSeconds / 2 * plannedShiftFraction,
        settings.shiftShareInTwoSeconds * overflowShiftFraction
    );
    const connections = new Map<string, ServerConnections>();
    const startedMillis = monotonicMillis();
    let stoppingSinceMillis: number | undefined;
    let stopEndMillis = Infinity;
    let hasStoreSinceMillis: number | undefined;
    const tableVersions = makeTableVersions();
    const newerTableListeners = new Set<(table: string, version: number) => void>();
    const tableConfirmationListeners = new Set<(table: string, confirmation: TableConfirmation) => void>();

    const beliefs = makeKnownState({
        pool,
        onConfiguration: configuration => {
            applyCallerLimits(callerServer, configuration);
            metrics.configurationVersion.set(configuration.version);
            startupWait.releaseIfComplete();
        },
        onServerUpserted: backendServer => {
            requestQueue.serve(backendServer.service, monotonicMillis());
            startupWait.releaseIfComplete();
        },
        onServerRemoved: id => {
            // Requests in flight keep their connections; no new connection is opened.
            connections.delete(id);
        },
        log
    });
    const startupWait = makeStartupWait(beliefs.isStateComplete);

    const service = (name: string) => beliefs.inForce()?.configuration.services.get(name);

    /** Mean of a time over the routes to a service; infinite for a service without routes, which has no traffic. */
    const meanOverRoutes = (name: string, millisOf: (route: Route) => number): number => {
        const routes = (beliefs.inForce()?.configuration.routes ?? [])
            .filter(({ targets }) => targets.some(target => target.service === name));
        return routes.length === 0
            ? Infinity
            : routes.reduce((sum, route) => sum + millisOf(route), 0) / routes.length;
    };

    const instanceCount = makeInstanceCount(members, startedMillis);
    const coldRateSharerCount = makeColdSharers(own, members, startedMillis);

    const rateLimitShares = makeRateLimitShares(own, members, startedMillis);
    const rateLimitReports = makeRateLimitReports(pool);

    const placement = makePlacement({
        failureDomain: own.failureDomain,
        region: own.region,
        pool,
        service,
        isEvacuated: beliefs.isEvacuated,
        roundTripMillis: () => otherRegionRoundTripMillis,
        coldRateSharerCount,
        rateLimitShare: rateLimitShares.shareOf,
        regionInstanceCount: rateLimitShares.regionInstanceCount,
        estimates,
        usualWorkMillis: name => meanOverRoutes(name, initialEstimateMillis),
        balance,
        random: Math.random
    });

    const connectionsTo = ({ id, service: serviceName, region }: BackendServer): ServerConnections => {
        let known = connections.get(id);
        if (known === undefined) {
            known = new ServerConnections(
                service(serviceName)?.maximumConnections ?? 1,
                region === own.region ? maxIdleMillis : maxIdleRemoteMillis
            );
            connections.set(id, known);
        }
        return known;
    };

    const scheduledServices = new Set<string>();

    /** Batches slots that become free within a few milliseconds, since each scan of a long queue is costly. */
    const offerFreeSlots = (name: string) => {
        if (requestQueue.waiting(name) === 0 || scheduledServices.has(name)) {
            return;
        }
        scheduledServices.add(name);
        setTimeout(() => {
            scheduledServices.delete(name);
            requestQueue.serve(name, monotonicMillis());
        }, slotBatchMillis);
    };

    let announcement: NodeJS.Timeout | undefined;

    /** Many requests may lose the same server at the same moment; one message reports what changes together. */
    const announceSoon = () => {
        announcement ??= setTimeout(() => {
            announcement = undefined;
            peers.announce();
        }, announcementBatchMillis);
    };

    const reachability = makeServiceReachability(name => pool.ofService(name).length);
    const recordConnection = ({ id, service: name }: BackendServer, isOpen: boolean) => {
        if (!reachability.recordConnection(name, id, isOpen)) {
            return;
        }
        const isCutOff = reachability.isCutOff(name);
        log.warn(
            "reachability",
            { service: name, isCutOff },
            isCutOff
                ? "no connections to the backend servers of the service; forwarding its requests to other instances"
                : "backend servers of the service accept connections again"
        );
        if (!isCutOff) {
            // The failures were those of this instance's links; the servers had no fault.
            pool.ofService(name).forEach(clearFailures);
        }
        announceSoon();
        requestQueue.serve(name, monotonicMillis());
    };
    /** One server of each service that is cut off, so that the end of a partition is noticed. */
    const chooseProbedServers = (): readonly BackendServer[] =>
        reachability.cutOffServices().flatMap(name => {
            const servers = pool.ofService(name).filter(tracked => !isLeaving(tracked));
            const chosen = servers[Math.floor(Math.random() * servers.length)];
            if (chosen === undefined) {
                reachability.forget(name);
                return [];
            }
            return [chosen.server];
        });
    const stopReachabilityProbes = registerConnectionProbes({
        chooseTargets: chooseProbedServers,
        onOutcome: recordConnection
    });
    const peerForwarding = makePeerForwarding({ own, dialect, members, random: Math.random });
    const incarnation = randomBytes(6).toString("base64url");

    const isReady = () => beliefs.isStateComplete() && stoppingSinceMillis === undefined;

    const heldMemory = makeHeldMemory(settings.memoryBytes * clientMemoryShare);
    const limitConnections = (clients: "callers" | "peers", descriptorShare: number): ClientLimits =>
        makeClientLimits({
            maxConnections: Math.floor((settings.maxDescriptors - fileDescriptors) * descriptorShare),
            memory: heldMemory,
            onClose: (limit, openConnections, claimedBytes) => {
                metrics.limitedConnections.inc({ clients, limit });
                log.warn(
                    "client limit",
                    { clients, limit, openConnections, claimedBytes },
                    "clients hold more than the limit; closing a connection"
                );
            }
        });
    const clientLimits = limitConnections("callers", callerDescriptorShare);
    const peerLimits = limitConnections("peers", peerDescriptorShare);
    const callerServerParts: CallerServerParts = {
        dialect,
        configuration: beliefs.inForce,
        whenStateComplete: startupWait.whenStateComplete,
        trafficSplit,
        attemptAgeEstimator: makeAttemptAgeEstimator(),
        limits: clientLimits,
        unreadAnswers: makeUnreadAnswers(heldMemory, log, metrics),
        run: routed =>
            runRequest({
                dialect,
                placement,
                requestQueue,
                offerFreeSlots,
                retryBudget,
                rateLimitReports,
                hedging,
                estimates,
                crashRecords,
                announceCrash: announceSoon,
                hasServerEnded: isRefusingConnections,
                reachability,
                recordConnection,
                peerForwarding,
                instanceCount,
                stopEndMillis: () => stopEndMillis,
                connectionsOf: placed => connectionsTo(placed.tracked.server),
                log,
                metrics
            }, routed),
        readForwarded: () => undefined,
        isLeaving: () => stoppingSinceMillis !== undefined,
        stopEndMillis: () => stopEndMillis,
        log,
        metrics
    };
    const callerServer = makeCallerServer(callerServerParts);
    const forwardedServer = makeCallerServer({
        ...callerServerParts,
        limits: peerLimits,
        readForwarded: message => readForwardedRequest(message, incarnation)
    });
    const openRequests = () => callerServer.openRequests() + forwardedServer.openRequests();
    const describeOpenRequests = () => [
        ...callerServer.describeOpenRequests(),
        ...forwardedServer.describeOpenRequests()
    ];
    callerServer.server.listen(settings.callerPort, settings.callerHost);

    /** Logs the requests that end without an answer because the process exits. */
    const reportCutRequests = (stoppingMillis: number) => {
        for (const { id, arrivedMillis, stage } of describeOpenRequests()) {
            metrics.cutRequests.inc({ stage });
            const arrivedInStopMillis = arrivedMillis === undefined
                ? undefined
                : Math.round(arrivedMillis - stoppingMillis);
            log.warn("cut request", { requestId: id, arrivedInStopMillis, stage }, "request still open at the exit");
        }
    };

    const ownInFlight = (): Record<string, number> => {
        const counts: Record<string, number> = {};
        for (const tracked of pool.all()) {
            if (tracked.ownInFlight > 0) {
                counts[tracked.server.id] = tracked.ownInFlight;
            }
        }
        return counts;
    };

    const serviceNames = (): readonly string[] => [
        ...beliefs.inForce()?.configuration.services.keys() ?? []
    ];

    const awayShares = (): Record<string, number> => {
        const entries = serviceNames().map(name =>
            [name, Math.round(balance.awayShare(name) * 1_000) / 1_000] as const
        );
        return Object.fromEntries(entries.filter(([, share]) => share > 0));
    };

    const hasStoreMillis = (): number | undefined =>
        hasStoreSinceMillis === undefined ? undefined : Math.round(monotonicMillis() - hasStoreSinceMillis);

    const balanceRegions = makeRegionBalancing({
        own,
        regionOfDomain: settings.regionOfDomain,
        serviceNames,
        usableServers: name =>
            pool.ofService(name).filter(tracked =>
                !isLeaving(tracked) && !beliefs.isEvacuated(tracked.server.failureDomain)
            ),
        roundTripMillis: otherRegionRoundTripMillis,
        objectiveMillis: name => meanOverRoutes(name, route => route.objectiveMillis),
        members,
        balance
    });
    const balanceTimer = setInterval(balanceRegions, balanceIntervalMillis);

    const configurationVersion = () => beliefs.inForce()?.configuration.version;
    const catchUp = makeConfigurationCatchUp({
        ownVersion: configurationVersion,
        fetchSnapshot,
        applyConfiguration: snapshot => beliefs.applyConfiguration(configurationOf(snapshot)),
        log
    });

    const peers = startPeerExchange({
        own,
        incarnation,
        members,
        seeds: settings.seeds,
        describeSelf: () => ({
            isReady: isReady(),
            inFlight: ownInFlight(),
            awayShares: awayShares(),
            hasStoreMillis: hasStoreMillis(),
            ...tableVersions.current(),
            configurationVersion: configurationVersion(),
            cutOffServices: reachability.cutOffServices()
        }),
        crashReports: () => crashRecords.nextReports(monotonicMillis()),
        onReport: report => {
            for (const [table, version] of tableVersions.newerIn(report)) {
                newerTableListeners.forEach(listener => listener(table, version));
            }
            for (const [table, { version, ageMillis }] of Object.entries(report.tableConfirmations ?? {})) {
                const confirmation = { version, ageMillis, era: report.storeEra ?? 0 };
                tableConfirmationListeners.forEach(listener => listener(table, confirmation));
            }
            if (report.configurationVersion !== undefined) {
                catchUp.recordPeerVersion(report.record, report.configurationVersion, monotonicMillis());
            }
            const inFlightByServer = members.inFlight(monotonicMillis());
            for (const tracked of pool.all()) {
                tracked.peersInFlight = inFlightByServer.get(tracked.server.id) ?? 0;
            }
        },
        rateLimits: () => rateLimitReports.nextReports(monotonicMillis()),
        onRateLimits: reports => rateLimitReports.recordReports(reports, monotonicMillis()),
        onCrashReports: reports => {
            const nowMillis = monotonicMillis();
            for (const report of reports) {
                if (crashRecords.merge(report, nowMillis)) {
                    log.info("quarantine", { ...report }, "a peer reports a request that crashes backend servers");
                }
            }
        },
        log
    });

    /** Ready siblings, ordered by proximity: own failure domain, own region, other regions. */
    const snapshotSources = (): readonly SnapshotSource[] => {
        const distance = ({ failureDomain, region }: MemberRecord) =>
            failureDomain === own.failureDomain ? 0 : region === own.region ? 1 : 2;
        return [...members.ready(monotonicMillis())].sort((left, right) => distance(left) - distance(right));
    };

    const stopPeerServer = startPeerServer({
        host: own.host,
        port: own.peerPort,
        makeSnapshot: beliefs.makeSnapshot,
        isForwarded: isForwardedRequest,
        onForwarded: (message, response) => {
            if (readForwardedRequest(message, incarnation) === undefined) {
                refuseUnknownSender(dialect, message, response);
            }
            else {
                forwardedServer.handleRequest(message, response);
            }
        },
        limits: peerLimits,
        log
    });
    const stopSnapshotRequests = startSnapshotRequests({
        isStateComplete: beliefs.isStateComplete,
        sources: snapshotSources,
        applySnapshot: beliefs.applySnapshot,
        log
    });

    const queueTimer = setInterval(() => requestQueue.serveAll(monotonicMillis()), queueCheckIntervalMillis);
    const reportTimer = setInterval(() => {
        log.reportOmitted();
        metrics.servers.set(pool.size());
        metrics.members.set(members.live(monotonicMillis()).length);
    }, reportIntervalMillis);

    return {
        applyConfiguration: beliefs.applyConfiguration,
        upsertServer: beliefs.upsertServer,
        removeServer: beliefs.removeServer,
        serverIds: beliefs.serverIds,
        setEvacuated: beliefs.setEvacuated,
        evacuatedDomains: beliefs.evacuatedDomains,
        setStoreUnavailable: isUnavailable => {
            hasStoreSinceMillis = isUnavailable ? undefined : hasStoreSinceMillis ?? monotonicMillis();
            if (isUnavailable) {
                startupWait.releaseNow();
            }
        },
        recordTableVersion: tableVersions.record,
        registerNewerTableVersionListener: listener => {
            newerTableListeners.add(listener);
            return () => newerTableListeners.delete(listener);
        },
        recordTableConfirmation: tableVersions.recordConfirmation,
        registerTableConfirmationListener: listener => {
            tableConfirmationListeners.add(listener);
            return () => tableConfirmationListeners.delete(listener);
        },
        hasMemberWithStoreAccess: millis => members.hasMemberWithStoreFor(millis, monotonicMillis()),
        addListedMembers: records => {
            const nowMillis = monotonicMillis();
            records.forEach(record => members.addMember(record, nowMillis));
            members.recordListed();
        },
        isReady,
        directory: makeDirectory(own, isReady, members),
        clientLimits,
        stop: () => {
            const sinceMillis = monotonicMillis();
            stoppingSinceMillis = sinceMillis;
            stopEndMillis = sinceMillis + settings.stopTimeoutMillis - endMarginMillis;
            log.info(
                "stop",
                { openRequests: openRequests() },
                "shutting down; callers are directed to other instances"
            );
            peers.announce();
            return new Promise(resolve => {
                const timer = setInterval(() => {
                    const nowMillis = monotonicMillis();
                    const elapsedMillis = nowMillis - sinceMillis;
                    const isIdle = openRequests() === 0
                        && elapsedMillis > settings.stopTimeoutMillis - earliestExitBeforeEndMillis;
                    if (nowMillis > stopEndMillis || isIdle) {
                        // Refuses the requests that arrive while the process exits.
                        stopEndMillis = Math.min(stopEndMillis, nowMillis);
                        // Refuses the requests that are still queued; their answers are written before the report.
                        requestQueue.serveAll(nowMillis);
                        clearInterval(timer);
                        clearInterval(queueTimer);
                        clearInterval(balanceTimer);
                        clearInterval(reportTimer);
                        setImmediate(() => {
                            log.info("stop", { openRequests: openRequests(), elapsedMillis }, "stopped");
                            reportCutRequests(sinceMillis);
                            stopSnapshotRequests();
                            stopReachabilityProbes();
                            stopPeerServer();
                            peers.close();
                            resolve();
                        });
                    }
                }, 50);
            });
        }
    };
}
