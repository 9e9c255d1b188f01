import type {
    AssignmentRow,
    ClientBlocks,
    CrashRecords,
    DecisionStep,
    DelayedIncreaseShare,
    Journal,
    Lease,
    QuantileEstimator,
    RateMeter,
    RefundableTokenBucket,
    SecondWindow,
    ServiceReachability,
    ShareBudget,
    SlotPool
} from "@endivebridge/core";
import type { ListedBackendServer, ListedEntryInstance, PlatformClient } from "@endivebridge/platform";
import type { ConfigurationDocument, InstanceSettings } from "@endivebridge/settings";
import type { HeldMemory, State } from "@endivebridge/shared";
import type { Effect, Fiber, Semaphore } from "effect";
import type { BackendConnections } from "./BackendConnections";
import type { LinkUsage } from "./Links";
import type { LoadReport } from "./LoadReportTask";
import type { Log } from "./Log";
import type { Metrics } from "./Metrics";
import type { Peer } from "./Peer";
import type { Answer } from "./SteeringRequest";
import type { WrittenRows } from "./TableReturn";
import type { TimeLine } from "./TimeLine";

/** The configuration that this instance currently applies. */
export interface ConfigurationInForce {
    readonly version: number;
    readonly document: ConfigurationDocument;
    readonly text: string;
    readonly inForceSinceMillis: number;
}

/** The platform's instance list as of the last successful read. */
export interface InstanceListSnapshot {
    readonly entries: readonly ListedEntryInstance[];
    readonly servers: readonly ListedBackendServer[];
    readonly readAtMillis: number;
}

/** The assignment row of this instance's failure domain as of the last read or write. */
export interface AssignmentSnapshot {
    readonly version: number;
    readonly row: AssignmentRow;
}

/** State of one service on this instance: its slots, budgets and measurements. */
export interface ServiceState {
    readonly service: string;
    readonly pool: SlotPool;
    readonly retries: ShareBudget;
    readonly hedges: ShareBudget;
    /** Rates per second of answered requests and of requests refused for lack of a slot or because of the cap. */
    readonly outcomeRates: RateMeter;
    /** Rates per second of callers' requests, by the caller's region. */
    readonly requestRates: RateMeter;
    /** Counts the requests from other regions that started in the current second. */
    readonly inflowWindow: SecondWindow;
    /** Number of requests from other regions that wait for the next window of the cap. */
    readonly inflowWaiters: { count: number; };
    /** This instance's share of the cap on requests from other regions; `current` is undefined without a cap. */
    readonly inflowShare: { current: number | undefined; readonly cautious: DelayedIncreaseShare; };
    /** Serializes requests during which a backend server crashed: only one of them runs at a time. */
    readonly suspectRequestLock: Semaphore.Semaphore;
    /** Token bucket for forwards to peers of this region whose last load report shows no free slot. */
    readonly busyPeerCallBudget: RefundableTokenBucket;
    /** Token bucket for forwards to peers of other regions. */
    readonly otherRegionCallBudget: RefundableTokenBucket;
    /** Exponentially weighted average of answer sizes in bytes. */
    readonly averageAnswerBytes: { mean: number; };
    /** Quantiles of the time that servers owned by this instance take for a complete answer. */
    readonly answerTimeQuantiles: QuantileEstimator;
}

/** State and services shared by all tasks of one entry instance. */
export interface Context {
    readonly settings: InstanceSettings;
    readonly incarnation: string;
    readonly log: Log;
    readonly metrics: Metrics;
    readonly timeLine: TimeLine;
    /** Logs one step of server selection for later replay; undefined unless enabled in the settings. */
    readonly logDecisionStep: ((service: string, step: DecisionStep) => void) | undefined;
    readonly platform: PlatformClient;
    /** Memory for what callers and peers have sent and not read. */
    readonly clientMemory: HeldMemory;
    readonly connections: BackendConnections;
    readonly journal: Journal<Answer>;
    readonly lease: Lease;
    readonly crashRecords: CrashRecords;
    readonly reachability: ServiceReachability;
    readonly linkUsage: LinkUsage;
    readonly configuration: State<ConfigurationInForce | undefined>;
    readonly instances: State<InstanceListSnapshot>;
    readonly assignment: State<AssignmentSnapshot | undefined>;
    readonly services: Map<string, ServiceState>;
    readonly peers: Map<string, Peer>;
    /** Latest load report of each backend server on which this instance owns slots. */
    readonly loadReports: Map<string, LoadReport>;
    readonly clientBlocks: { current: ClientBlocks; };
    readonly shutdown: State<boolean>;
    readonly writtenRows: WrittenRows;
    /** When this instance noticed that the platform's table had returned from a copy; undefined before any return. */
    readonly tableReturn: { atMillis: number | undefined; };
    /**
     * Monotonic time at which a sibling last appeared or changed its incarnation. Slots are redistributed after such a
     * change.
     */
    readonly siblingsChangedAtMillis: { current: number; };
    /** Starts a fiber that is independent of the caller's, so that it outlives the connection it was started for. */
    readonly fork: <Value, Failure>(effect: Effect.Effect<Value, Failure>) => Fiber.Fiber<Value, Failure>;
}
