import { StatsD } from "hot-shots";

/** Names of all metrics; docs/metrics.md lists their units. */
export type MetricName =
    | "answers"
    | "errors"
    | "hedges"
    | "retries"
    | "forwards"
    | "lookups"
    | "operations"
    | "limited_connections"
    | "refused_peer_calls"
    | "answer_millis"
    | "queue_wait_millis"
    | "owned_slots"
    | "journal_entries"
    | "configuration_version";

/** Metrics of one process; they are sent to StatsD, and the counter totals are also returned to operators' queries. */
export interface Metrics {
    readonly count: (name: MetricName, tags?: Readonly<Record<string, string>>, amount?: number) => void;
    readonly gauge: (name: MetricName, value: number, tags?: Readonly<Record<string, string>>) => void;
    readonly timing: (name: MetricName, millis: number, tags?: Readonly<Record<string, string>>) => void;
    readonly totals: () => Readonly<Record<string, number>>;
    readonly close: () => void;
}

/** Address of the StatsD server. */
export interface MetricsTarget {
    readonly host: string;
    readonly port: number;
}

/** Creates the metrics of one process; without a target only the counter totals are kept, in memory. */
export function makeMetrics(target: MetricsTarget | undefined, instance: string): Metrics {
    const client = target === undefined ? undefined : new StatsD({
        host: target.host,
        port: target.port,
        prefix: "endivebridge.",
        globalTags: { instance },
        maxBufferSize: 1_400,
        errorHandler: () => undefined
    });
    const totals = new Map<string, number>();
    return {
        count: (name, tags = {}, amount = 1) => {
            const key = [name, ...Object.values(tags)].join(".");
            totals.set(key, (totals.get(key) ?? 0) + amount);
            client?.increment(name, amount, tags);
        },
        gauge: (name, value, tags = {}) => client?.gauge(name, value, tags),
        timing: (name, millis, tags = {}) => client?.timing(name, millis, tags),
        totals: () => Object.fromEntries(totals),
        close: () => client?.close()
    };
}
