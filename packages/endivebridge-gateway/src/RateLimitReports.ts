import type { RateLimitObservation, ServerPool } from "@endivebridge/traffic";

/** Rate limit of a backend server in a message to peers. */
export interface RateLimitReport {
    readonly server: string;
    /** Undefined if the server no longer reports a limit. */
    readonly requestsPerSecond: number | undefined;
    readonly ageMillis: number;
}

/** Passes on what the answers to this instance say about rate limits, and records what peers pass on. */
export interface RateLimitReports {
    /** Records an answer to this instance; true if the limit changed. */
    readonly recordAnswer: (server: string, observation: RateLimitObservation, nowMillis: number) => boolean;
    /** Limits for the next message: those that changed lately, then some of the others in turn. */
    readonly nextReports: (nowMillis: number) => readonly RateLimitReport[];
    readonly recordReports: (reports: readonly RateLimitReport[], nowMillis: number) => void;
}

/** A changed limit is part of each message for this long, which covers several messages to each peer. */
const changedForMillis = 5_000;
/** Limit on the reports per message, which has to fit into one datagram. */
const maxReportsPerMessage = 12;

interface OwnObservation extends RateLimitObservation {
    readonly changedAtMillis: number;
}

/** Creates the reports of one instance; reports about servers that are not in the pool are ignored. */
export function makeRateLimitReports(pool: ServerPool): RateLimitReports {
    /** In the order in which they were last reported. */
    const observations = new Map<string, OwnObservation>();

    const moveToEnd = (server: string, observation: OwnObservation) => {
        observations.delete(server);
        observations.set(server, observation);
    };

    return {
        recordAnswer: (server, observation, nowMillis) => {
            const rateLimit = pool.get(server)?.rateLimit;
            const hasChanged = rateLimit?.record(observation, nowMillis) ?? false;
            if (rateLimit?.current(nowMillis)?.requestsPerSecond !== observation.requestsPerSecond) {
                // A later answer is known, and peers need not hear of this one.
                return false;
            }
            const known = observations.get(server);
            const isNewToPeers = hasChanged || known?.requestsPerSecond !== observation.requestsPerSecond;
            if (isNewToPeers || observation.requestsPerSecond !== undefined) {
                const changedAtMillis = isNewToPeers ? nowMillis : known?.changedAtMillis ?? nowMillis;
                observations.set(server, { ...observation, changedAtMillis });
            }
            return hasChanged;
        },
        nextReports: nowMillis => {
            const changed: [string, OwnObservation][] = [];
            const others: [string, OwnObservation][] = [];
            for (const [server, observation] of observations) {
                const hasChangedLately = nowMillis - observation.changedAtMillis <= changedForMillis;
                if (hasChangedLately) {
                    changed.push([server, observation]);
                }
                else if (observation.requestsPerSecond === undefined || pool.get(server) === undefined) {
                    observations.delete(server);
                }
                else {
                    others.push([server, observation]);
                }
            }
            const selected = [...changed, ...others].slice(0, maxReportsPerMessage);
            for (const [server, observation] of selected) {
                moveToEnd(server, observation);
            }
            return selected.map(([server, { requestsPerSecond, atMillis }]) => ({
                server,
                requestsPerSecond,
                ageMillis: Math.max(0, Math.round(nowMillis - atMillis))
            }));
        },
        recordReports: (reports, nowMillis) => {
            for (const { server, requestsPerSecond, ageMillis } of reports) {
                const atMillis = nowMillis - ageMillis;
                pool.get(server)?.rateLimit.record({ requestsPerSecond, atMillis }, nowMillis);
            }
        }
    };
}
