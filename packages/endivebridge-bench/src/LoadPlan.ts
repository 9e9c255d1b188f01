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
    /** Request rate at the end as a multiple of the rate at the start; 1 keeps the rate constant. */
    readonly endFactor: number;
    /** Label under which results are reported; streams with the same label are counted together. */
    readonly label: string;
}

/** Streams, addresses and duration of one load run of the caller process. */
export interface LoadPlan {
    readonly seed: number;
    readonly seconds: number;
    /** Requests sent in the first `warmUpSeconds` are left out of the latency and wait percentiles. */
    readonly warmUpSeconds: number;
    /** Time over which the rate grows from 10% to 100%, so that newly started processes can warm up. */
    readonly rampSeconds: number;
    readonly streams: readonly LoadStream[];
    /** Entry addresses that callers start with, by region. */
    readonly entryAddresses: Readonly<Record<string, readonly string[]>>;
    /** Address of the link to connect to, by caller region and entry address. */
    readonly routes: Readonly<Record<string, Readonly<Record<string, string>>>>;
    /** First two octets of the callers' addresses, by region. */
    readonly networks: Readonly<Record<string, string>>;
    readonly callersPerRegion: number;
}

/** Median, 99th and 99.9th percentile of a duration in milliseconds. */
export interface Percentiles {
    readonly p50Millis: number;
    readonly p99Millis: number;
    readonly p999Millis: number;
}

/** Requests that were answered or failed within one window of the run, and the latency of the answers. */
export interface LoadWindow {
    readonly startMillis: number;
    readonly answered: number;
    readonly failed: number;
    readonly p99Millis: number;
}

/** Outcomes and latencies of all requests with one label, as callers saw them. */
export interface LabelResult {
    readonly label: string;
    readonly sent: number;
    readonly answered: number;
    readonly failed: number;
    readonly inDoubt: number;
    readonly latency: Percentiles;
    /** Time spent waiting for a slot, in the entry instance and in the queue of the server. */
    readonly wait: Percentiles;
    /** Time from sending a request to its final failure, for requests that did not run. */
    readonly refusal: Percentiles;
    /** Duration of each attempt that was refused without running. */
    readonly firstRefusal: Percentiles;
    /** Part of `firstRefusal` that the attempt spent inside the system, as reported by the instances. */
    readonly refusalInside: Percentiles;
    readonly windows: readonly LoadWindow[];
    readonly failedByKind: Readonly<Record<string, number>>;
}

/** Outcomes of a load run over all callers. */
export interface LoadResult {
    /** Results by label; the first, `all`, covers every stream. */
    readonly labels: readonly LabelResult[];
    readonly wrongAnswers: number;
    /** Tokens of attempts that were reported to callers as not run. */
    readonly toldNotRun: readonly string[];
    /** Number of non-idempotent requests that were sent. */
    readonly operations: number;
    readonly startedAtMillis: number;
}

/** Messages from the parent to the caller process. */
export type CallerProcessRequest = { readonly kind: "run"; readonly plan: LoadPlan; };

/** Messages from the caller process to its parent. */
export type CallerProcessReply =
    | { readonly kind: "progress"; readonly answered: number; readonly failed: number; }
    | { readonly kind: "done"; readonly result: LoadResult; };

/** Returns the result of one label; fails when no request had it. */
export function getLabelResult(result: LoadResult, label: string): LabelResult {
    const found = result.labels.find(each => each.label === label);
    invariant(found !== undefined, `no request was sent with label ${label}`);
    return found;
}
