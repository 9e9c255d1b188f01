import type {
    AssignmentRow,
    CautiousShare,
    ClientBlocks,
    DecisionStep,
    Journal,
    LearnedQuantile,
    Lease,
    PoisonList,
    RateMeter,
    SecondWindow,
    ShareBudget,
    SlotPool,
    TryBudget
} from "@endivebridge/core";
import type { ListedBackendServer, ListedEntryInstance, PlatformClient } from "@endivebridge/platform";
import type { ConfigurationDocument, InstanceSettings } from "@endivebridge/settings";
import type { State } from "@endivebridge/shared";
import type { Effect, Fiber, Semaphore } from "effect";
import type { BackendConnections } from "./BackendConnections";
import type { LinkUse } from "./Links";
import type { LoadReport } from "./LoadReportTask";
import type { Log } from "./Log";
import type { Metrics } from "./Metrics";
import type { Peer } from "./Peer";
import type { Answer } from "./SteeringRequest";
import type { TimeLine } from "./TimeLine";

/** Configuration in force on this instance. */
export interface ConfigurationInForce {
    readonly version: number;
    readonly document: ConfigurationDocument;
    readonly text: string;
    readonly inForceSinceMillis: number;
}

/** The platform's instance list as last read. */
export interface InstanceListSnapshot {
    readonly entries: readonly ListedEntryInstance[];
    readonly servers: readonly ListedBackendServer[];
    readonly readAtMillis: number;
}

/** The assignment row of the own failure domain as last read or written. */
export interface AssignmentSnapshot {
    readonly version: number;
    readonly row: AssignmentRow;
}

/** Everything that this instance keeps for one service. */
export interface ServiceState {
    readonly service: string;
    readonly pool: SlotPool;
    readonly retries: ShareBudget;
    readonly hedges: ShareBudget;
    /** Requests from other regions that began in the last second. */
    /** Requests refused for want of a slot, and those answered, a second. */
    readonly outcomes: RateMeter;
    /** Requests of callers by the region they call from. */
    readonly meter: RateMeter;
    readonly inflow: SecondWindow;
    /** Requests from other regions that wait for the cap's window to move on. */
    readonly inflowWaiting: { count: number; };
    /** This instance's part of the cap on them; undefined without a cap. */
    readonly inflowShare: { current: number | undefined; readonly cautious: CautiousShare; };
    /** Lets one request at a time run under which a server died. */
    readonly suspects: Semaphore.Semaphore;
    /** Calls to peers that said they were full. */
    readonly tries: TryBudget;
    /** Calls to peers of other regions. */
    readonly farTries: TryBudget;
    /** Decayed mean size of answers in bytes. */
    readonly answerBytes: { mean: number; };
    /** Times of whole answers of own servers. */
    readonly answerTimes: LearnedQuantile;
}

/** What the tasks of one entry instance share. */
export interface Context {
    readonly settings: InstanceSettings;
    readonly incarnation: string;
    readonly log: Log;
    readonly metrics: Metrics;
    readonly timeLine: TimeLine;
    /** Writes a step of the choice of servers to the log; undefined where the settings do not ask for it. */
    readonly recordStep: ((service: string, step: DecisionStep) => void) | undefined;
    readonly platform: PlatformClient;
    readonly connections: BackendConnections;
    readonly journal: Journal<Answer>;
    readonly lease: Lease;
    readonly poison: PoisonList;
    readonly linkUse: LinkUse;
    readonly configuration: State<ConfigurationInForce | undefined>;
    readonly instances: State<InstanceListSnapshot>;
    readonly assignment: State<AssignmentSnapshot | undefined>;
    readonly services: Map<string, ServiceState>;
    readonly peers: Map<string, Peer>;
    /** Latest load report of each server of which this instance owns slots. */
    readonly reports: Map<string, LoadReport>;
    readonly clientBlocks: { current: ClientBlocks; };
    readonly shutdown: State<boolean>;
    /** Monotonic time at which a sibling last came or changed its incarnation: slots will have to move. */
    readonly siblingsChangedAtMillis: { current: number; };
    /** Starts a task that outlives the connection it was started for. */
    readonly fork: <Value, Failure>(effect: Effect.Effect<Value, Failure>) => Fiber.Fiber<Value, Failure>;
}
