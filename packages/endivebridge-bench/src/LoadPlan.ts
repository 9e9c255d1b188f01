import { invariant } from "@endivebridge/shared";

/** One stream of requests with Poisson arrivals. */
export interface LoadStream {
    readonly region: string;
    readonly service: string;
    readonly method: string;
    readonly path: string;
    readonly idempotent: boolean;
    readonly requestsPerSecond: number;
    readonly answerBytes: number;
    readonly deadlineMillis: number;
    /** Rate at the end as a multiple of the rate at the start; 1 for a steady load. */
    readonly endFactor: number;
    /** Named apart in the results. */
    readonly label: string;
}

/** What the callers' process is to do. */
export interface LoadPlan {
    readonly seed: number;
    readonly seconds: number;
    /** Answers in the first seconds are not counted in latencies. */
    readonly warmUpSeconds: number;
    /** Time over which the rate grows from a tenth to the whole, so that processes just started can warm up. */
    readonly rampSeconds: number;
    readonly streams: readonly LoadStream[];
    /** Entry instances that callers know at first, by region. */
    readonly entryAddresses: Readonly<Record<string, readonly string[]>>;
    /** Address to connect to, by region and address. */
    readonly routes: Readonly<Record<string, Readonly<Record<string, string>>>>;
    /** First two numbers of the callers' addresses, by region. */
    readonly networks: Readonly<Record<string, string>>;
    readonly callersPerRegion: number;
}

/** Latencies in milliseconds. */
export interface Percentiles {
    readonly p50Millis: number;
    readonly p99Millis: number;
    readonly p999Millis: number;
}

/** Answers that came within one window of the run. */
export interface LoadWindow {
    readonly startMillis: number;
    readonly answered: number;
    readonly failed: number;
    readonly p99Millis: number;
}

/** What callers of one label saw. */
export interface LabelResult {
    readonly label: string;
    readonly sent: number;
    readonly answered: number;
    readonly failed: number;
    readonly inDoubt: number;
    readonly latency: Percentiles;
    /** Time spent waiting for a slot, before the server and in its queue. */
    readonly wait: Percentiles;
    /** Time until a caller gave up on a request that did not run. */
    readonly refusal: Percentiles;
    /** Time of the attempts that were refused as not run. */
    readonly firstRefusal: Percentiles;
    /** The part of that time that the request spent inside the system, as instances tell it. */
    readonly refusalInside: Percentiles;
    readonly windows: readonly LoadWindow[];
    readonly failedByKind: Readonly<Record<string, number>>;
}

/** What all callers saw. */
export interface LoadResult {
    /** Results by label; the first, `all`, holds every stream. */
    readonly labels: readonly LabelResult[];
    readonly wrongAnswers: number;
    /** Tokens of attempts that callers were told did not run. */
    readonly toldNotRun: readonly string[];
    /** Prefixes of tokens of non-idempotent requests. */
    readonly operations: number;
    readonly startedAtMillis: number;
}

/** Messages to the callers' process. */
export type CallerProcessRequest = { readonly kind: "run"; readonly plan: LoadPlan; };

/** Messages from the callers' process. */
export type CallerProcessReply =
    | { readonly kind: "progress"; readonly answered: number; readonly failed: number; }
    | { readonly kind: "done"; readonly result: LoadResult; };

/** Result of one label. */
export function labelNamed(result: LoadResult, label: string): LabelResult {
    const found = result.labels.find(each => each.label === label);
    invariant(found !== undefined, `no calls of label ${label}`);
    return found;
}
