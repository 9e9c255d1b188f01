import {
    makeClientBlocks,
    makeCrashRecords,
    makeDelayedIncreaseShare,
    makeJournal,
    makeLease,
    makeQuantileEstimator,
    makeRateMeter,
    makeRefundableTokenBucket,
    makeSecondWindow,
    makeServiceReachability,
    makeShareBudget,
    makeSlotPool,
    pickLeastCost
} from "@endivebridge/core";
import { makePlatformClient } from "@endivebridge/platform";
import type { InstanceSettings } from "@endivebridge/settings";
import { makeHeldMemory, makeState, mergeTeardowns, monotonicMillis } from "@endivebridge/shared";
import { Effect, Fiber, Scheduler, Semaphore } from "effect";
import { randomBytes } from "node:crypto";
import { makeBackendConnections } from "./BackendConnections";
import { openCallerServer } from "./CallerServer";
import { configurationTask } from "./ConfigurationTask";
import type { AssignmentSnapshot, ConfigurationInForce, Context, InstanceListSnapshot, ServiceState } from "./Context";
import { instanceListTask } from "./InstanceListTask";
import { closeJournal, journalTask } from "./JournalTask";
import { leaseMillis } from "./LeaseMillis";
import { makeLinkUsage } from "./Links";
import { loadReportTask } from "./LoadReportTask";
import { makeLog } from "./Log";
import { makeMetrics } from "./Metrics";
import { ownershipTask, releaseOwnership } from "./OwnershipTask";
import { openPeerServer } from "./PeerServer";
import { registerPeerTasks } from "./PeerTask";
import { registerReachabilityProbes } from "./Reachability";
import { makeWrittenRows, registerRewriteAfterTableReturn } from "./TableReturn";
import { makeTimeLine } from "./TimeLine";

// Runs resumed fibers as microtasks, at the end of the current event rather than after the next event-loop poll.
const microtaskScheduler = new Scheduler.MixedScheduler("async", task => {
    let cancelled = false;
    queueMicrotask(() => cancelled ? undefined : task());
    return () => {
        cancelled = true;
    };
});

const maxJournalOperations = 200_000;
const connectionLingerMillis = 1_000;
const finalFlushMillis = 100;
const peerSlotRetryIntervalMillis = 25;
const inflowWindowMillis = 1_000;
const busyPeerCallsPerSecond = 40;
const maxBusyPeerCalls = 20;
const otherRegionCallsPerSecond = 0.5;
const maxOtherRegionCalls = 2;

/** A running entry instance and the function that stops it. */
export interface Daemon {
    readonly context: Context;
    /** Shuts down gracefully: finishes requests in flight, releases the owned slots and closes the servers. */
    readonly shutDown: () => Promise<void>;
}

/** Returns the seed instances of the settings, which are used until the platform's instance list can be read. */
function seedEntryInstances(settings: InstanceSettings): InstanceListSnapshot["entries"] {
    return settings.seedPeers.map(seed => ({ ...seed, kind: "entry", state: "live" }));
}

function makeContext(settings: InstanceSettings): Context {
    const nowMillis = monotonicMillis;
    const log = makeLog("endivebridged", settings.instance, settings.logLevel);
    const context: Context = {
        settings,
        incarnation: randomBytes(6).toString("hex"),
        log,
        logDecisionStep: settings.recordDecisions
            ? (service, decision) => log.info({ service, decision }, "decision")
            : undefined,
        metrics: makeMetrics(settings.metrics, settings.instance),
        timeLine: makeTimeLine(settings.instance),
        platform: makePlatformClient(settings.platform),
        clientMemory: makeHeldMemory(settings.limits.clientMemoryBytes),
        connections: makeBackendConnections({
            connectionsPerServer: settings.limits.connectionsPerServer,
            idleMillis: settings.timing.connectionIdleMillis
        }),
        journal: makeJournal({
            nowMillis,
            mintEpochMillis: settings.timing.mintEpochMillis,
            retentionMillis: settings.timing.operationMemoryMillis,
            capacity: maxJournalOperations
        }),
        crashRecords: makeCrashRecords(Math.random),
        reachability: makeServiceReachability(service => context.services.get(service)?.pool.servers().length ?? 0),
        linkUsage: makeLinkUsage(),
        lease: makeLease(() => leaseMillis(context)),
        configuration: makeState<ConfigurationInForce | undefined>(undefined),
        instances: makeState<InstanceListSnapshot>({
            entries: seedEntryInstances(settings),
            servers: [],
            readAtMillis: 0
        }),
        assignment: makeState<AssignmentSnapshot | undefined>(undefined),
        services: new Map(),
        peers: new Map(),
        loadReports: new Map(),
        clientBlocks: { current: makeClientBlocks() },
        shutdown: makeState(false),
        writtenRows: makeWrittenRows(),
        tableReturn: { atMillis: undefined },
        siblingsChangedAtMillis: { current: 0 },
        fork: effect => Effect.runFork(effect, { scheduler: microtaskScheduler })
    };
    return context;
}

function makeServiceState(context: Context, service: string): ServiceState {
    const record = context.logDecisionStep;
    const readServiceSettings = () => context.configuration.read()?.document.services[service];
    return {
        service,
        pool: makeSlotPool({
            pickServer: pickLeastCost,
            mayDispatch: () => context.lease.holds(monotonicMillis()),
            nowMillis: monotonicMillis,
            onStep: record === undefined ? undefined : step => record(service, step)
        }),
        retries: makeShareBudget(() => readServiceSettings()?.retryShare ?? 0),
        hedges: makeShareBudget(() => readServiceSettings()?.hedgeShare ?? 0),
        outcomeRates: makeRateMeter(),
        requestRates: makeRateMeter(),
        inflowWindow: makeSecondWindow(),
        inflowWaiters: { count: 0 },
        inflowShare: {
            current: 0,
            cautious: makeDelayedIncreaseShare(() => leaseMillis(context) + inflowWindowMillis)
        },
        suspectRequestLock: Semaphore.makeUnsafe(1),
        busyPeerCallBudget: makeRefundableTokenBucket(busyPeerCallsPerSecond, maxBusyPeerCalls),
        otherRegionCallBudget: makeRefundableTokenBucket(otherRegionCallsPerSecond, maxOtherRegionCalls),
        averageAnswerBytes: { mean: 0 },
        answerTimeQuantiles: makeQuantileEstimator()
    };
}

function registerServices(context: Context): () => void {
    return context.configuration.registerListener(configuration => {
        for (const service of Object.keys(configuration?.document.services ?? {})) {
            if (!context.services.has(service)) {
                context.services.set(service, makeServiceState(context, service));
            }
        }
    });
}

function startTasks(context: Context): () => void {
    const tasks = [instanceListTask, configurationTask, ownershipTask, loadReportTask, journalTask].map(task =>
        context.fork(task(context))
    );
    const housekeepingTimer = setInterval(() => {
        context.journal.removeExpired();
        context.services.forEach(service => {
            service.requestRates.tick();
            service.outcomeRates.tick();
        });
    }, 1_000);
    // Periodically lets the oldest waiting request of each service retry its search for a free slot at a peer.
    const peerSlotRetryTimer = setInterval(
        () => context.services.forEach(service => service.pool.redirectWaiters(1)),
        peerSlotRetryIntervalMillis
    );
    return () => {
        clearInterval(housekeepingTimer);
        clearInterval(peerSlotRetryTimer);
        tasks.forEach(task => Effect.runFork(Fiber.interrupt(task)));
    };
}

async function waitUntilIdle(isBusy: () => boolean, untilMillis: number): Promise<void> {
    while (isBusy() && monotonicMillis() < untilMillis) {
        await new Promise(resolve => setTimeout(resolve, 20));
    }
}

function inFlight(context: Context): number {
    const servers = [...context.services.values()].flatMap(service => service.pool.servers());
    return servers.reduce((sum, owned) => sum + owned.inFlight, 0);
}

/** Starts an entry instance: creates its context, opens its servers and starts its tasks. */
export async function startDaemon(settings: InstanceSettings): Promise<Daemon> {
    const context = makeContext(settings);
    const unregisterServices = registerServices(context);
    const unregisterPeers = registerPeerTasks(context);
    const unregisterRewrite = registerRewriteAfterTableReturn(context);
    const peerServer = await openPeerServer(context);
    const callerServer = await openCallerServer(context);
    const stopTasks = startTasks(context);
    const unregisterProbes = registerReachabilityProbes(context);
    const teardown = mergeTeardowns(
        () => context.metrics.close(),
        () => context.connections.closeAll(),
        () => peerServer.close(),
        unregisterServices,
        unregisterPeers,
        unregisterRewrite,
        unregisterProbes,
        stopTasks
    );
    context.log.info({ callers: settings.callers, peers: settings.peers, incarnation: context.incarnation }, "started");
    context.timeLine.emit({ kind: "started", incarnation: context.incarnation });
    const shutDown = async () => {
        const untilMillis = monotonicMillis() + settings.timing.drainMillis;
        context.log.info("shutting down");
        context.shutdown.update(() => true);
        context.timeLine.emit({ kind: "shuttingDown" });
        const isBusy = () =>
            callerServer.openExchanges() > 0 || peerServer.openCallCount() > 0 || inFlight(context) > 0;
        await waitUntilIdle(isBusy, untilMillis);
        const closed = await Effect.runPromise(closeJournal(context));
        await Effect.runPromise(Effect.ignore(releaseOwnership(context)));
        // Requests may still arrive on connections that are already open; each is refused so that the caller
        // retries at another instance.
        await new Promise(resolve => setTimeout(resolve, connectionLingerMillis));
        await waitUntilIdle(() => callerServer.openExchanges() > 0 || peerServer.openCallCount() > 0, untilMillis);
        callerServer.close();
        teardown();
        // The last answers written to a peer's connection may not be sent yet.
        await new Promise(resolve => setTimeout(resolve, finalFlushMillis));
        callerServer.server.closeAllConnections();
        context.log.info({ closed }, "stopped");
    };
    return { context, shutDown };
}
