import { connect, createServer, type Server, type Socket } from "node:net";

/** Rate that several links share, as between two regions. */
export interface SharedRate {
    readonly bytesPerSecond: number;
    /** Monotonic time at which the last byte sent so far has left. */
    freeAtMillis: number;
    bytes: number;
}

/** One direction of a link. */
export interface Direction {
    delayMillis: number;
    rate: SharedRate | undefined;
}

/** A proxied way to one address, with faults that can be changed while it runs. */
export interface Link {
    readonly port: number;
    readonly target: string;
    readonly forward: Direction;
    readonly backward: Direction;
    /** While true nothing passes and connections that are tried hang. */
    partitioned: boolean;
    /** Connections opened from now on are cut after this many answer bytes; undefined: never. */
    truncateAfterBytes: number | undefined;
    /** Drops every byte of the connections open now; new ones work. */
    readonly silence: () => void;
    /** Resets the connections open now. */
    readonly cut: () => void;
    readonly connections: () => number;
    /** Bytes passed so far, both ways. */
    readonly bytes: () => number;
    readonly close: () => Promise<void>;
}

/** What a link is made of. */
export interface LinkOptions {
    readonly target: string;
    readonly forward: Direction;
    readonly backward: Direction;
    readonly port?: number;
}

interface Pair {
    readonly near: Socket;
    readonly far: Socket;
    silent: boolean;
    answerBytes: number;
}

const mostQueuedBytes = 1_048_576;
const cutDelayMillis = 20;

/** Makes a rate that links share. */
export function makeSharedRate(megabitsPerSecond: number): SharedRate {
    return { bytesPerSecond: megabitsPerSecond * 125_000, freeAtMillis: 0, bytes: 0 };
}

function arrivalMillis(direction: Direction, bytes: number): number {
    const nowMillis = performance.now();
    const { rate } = direction;
    if (rate === undefined) {
        return nowMillis + direction.delayMillis;
    }
    rate.bytes += bytes;
    rate.freeAtMillis = Math.max(rate.freeAtMillis, nowMillis) + (bytes * 1_000) / rate.bytesPerSecond;
    return rate.freeAtMillis + direction.delayMillis;
}

interface DueAction {
    readonly dueMillis: number;
    readonly run: () => void;
}

/** Runs actions at their times and in the order in which they were put in. */
function makeOrderedTimer(): (dueMillis: number, run: () => void) => void {
    const actions: DueAction[] = [];
    let waiting = false;
    const runDue = () => {
        waiting = false;
        while (actions.length > 0 && actions[0]!.dueMillis <= performance.now() + 0.5) {
            actions.shift()!.run();
        }
        if (actions.length > 0 && !waiting) {
            waiting = true;
            setTimeout(runDue, Math.max(0, actions[0]!.dueMillis - performance.now()));
        }
    };
    return (dueMillis, run) => {
        actions.push({ dueMillis, run });
        if (!waiting) {
            runDue();
        }
    };
}

/** Sends what one socket reads to the other, late by the direction's delay and rate, in order. */
function shape(from: Socket, to: Socket, direction: Direction, passableBytes: (bytes: number) => number): void {
    const later = makeOrderedTimer();
    let queuedBytes = 0;
    from.on("data", data => {
        const chunk = data.subarray(0, passableBytes(data.length));
        if (chunk.length === 0) {
            return;
        }
        queuedBytes += chunk.length;
        if (queuedBytes > mostQueuedBytes) {
            from.pause();
        }
        later(arrivalMillis(direction, chunk.length), () => {
            queuedBytes -= chunk.length;
            if (!to.destroyed) {
                to.write(chunk);
            }
            if (from.isPaused() && queuedBytes < mostQueuedBytes / 2) {
                from.resume();
            }
        });
    });
    from.on("end", () => later(performance.now() + direction.delayMillis, () => to.end()));
    from.on("close", hadError => {
        later(performance.now() + direction.delayMillis, () => hadError ? to.destroy() : to.end());
    });
    from.on("error", () => undefined);
}

/** Opens a link on loopback; the far end sees the near end's address. */
export async function openLink(options: LinkOptions): Promise<Link> {
    const pairs = new Set<Pair>();
    const separator = options.target.lastIndexOf(":");
    const host = options.target.slice(0, separator);
    const targetPort = Number(options.target.slice(separator + 1));
    const server: Server = createServer({ allowHalfOpen: true, noDelay: true });

    // A connection that lost a byte stays silent for good: after a gap its stream would be corrupt.
    const passes = (pair: Pair) => {
        pair.silent ||= link.partitioned;
        return !pair.silent;
    };
    let passedBytes = 0;
    const cutLater = (pair: Pair) =>
        setTimeout(() => {
            pair.near.destroy();
            pair.far.destroy();
        }, options.backward.delayMillis + cutDelayMillis);
    /** An answer that passes the limit gets through up to it, then its connection is cut. */
    const passesBack = (pair: Pair, bytes: number): number => {
        const before = pair.answerBytes;
        pair.answerBytes += bytes;
        passedBytes += bytes;
        if (!passes(pair)) {
            return 0;
        }
        const limit = link.truncateAfterBytes;
        if (limit === undefined || pair.answerBytes <= limit) {
            return bytes;
        }
        pair.silent = true;
        cutLater(pair);
        return Math.max(0, limit - before);
    };
    server.on("connection", near => {
        const far = connect({
            host,
            port: targetPort,
            localAddress: near.remoteAddress,
            allowHalfOpen: true,
            noDelay: true
        });
        const pair: Pair = { near, far, silent: link.partitioned, answerBytes: 0 };
        pairs.add(pair);
        shape(near, far, options.forward, bytes => {
            passedBytes += bytes;
            return passes(pair) ? bytes : 0;
        });
        shape(far, near, options.backward, bytes => passesBack(pair, bytes));
        const forget = () => {
            if (near.destroyed && far.destroyed) {
                pairs.delete(pair);
            }
        };
        near.on("close", forget);
        far.on("close", forget);
        far.on("error", () => near.resetAndDestroy());
    });
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(options.port ?? 0, "127.0.0.1", resolve);
    });
    const address = server.address();
    const link: Link = {
        port: typeof address === "object" ? address?.port ?? 0 : 0,
        target: options.target,
        forward: options.forward,
        backward: options.backward,
        partitioned: false,
        truncateAfterBytes: undefined,
        silence: () => pairs.forEach(pair => pair.silent = true),
        cut: () =>
            pairs.forEach(pair => {
                pair.near.resetAndDestroy();
                pair.far.resetAndDestroy();
            }),
        connections: () => pairs.size,
        bytes: () => passedBytes,
        close: () =>
            new Promise(resolve => {
                pairs.forEach(pair => {
                    pair.near.destroy();
                    pair.far.destroy();
                });
                server.close(() => resolve());
            })
    };
    return link;
}
