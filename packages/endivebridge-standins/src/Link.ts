import { connect, createServer, type Server, type Socket } from "node:net";

/** Bandwidth limit shared by several links, such as all links between two regions. */
export interface SharedRate {
    readonly bytesPerSecond: number;
    /** Monotonic time in milliseconds at which the transmission of all bytes sent so far ends. */
    transmissionEndMillis: number;
    bytes: number;
}

/** One-way delay and bandwidth limit of one direction of a link. */
export interface LinkDirection {
    delayMillis: number;
    rate: SharedRate | undefined;
}

/** A TCP proxy to one address with injectable faults, which can be changed while it runs. */
export interface Link {
    readonly port: number;
    readonly target: string;
    readonly forward: LinkDirection;
    readonly backward: LinkDirection;
    /** While true, no data is forwarded and new connections hang. */
    isPartitioned: boolean;
    /** Connections whose response data exceeds this many bytes are truncated there and closed; undefined disables the limit. */
    truncateAfterBytes: number | undefined;
    /** Drops all further data of the current connections without closing them; new connections are not affected. */
    readonly silence: () => void;
    /** Resets all current connections. */
    readonly resetConnections: () => void;
    readonly connections: () => number;
    /** Bytes received so far in both directions, including those that a fault dropped. */
    readonly bytes: () => number;
    readonly close: () => Promise<void>;
}

/** Options of {@link openLink}. */
export interface LinkOptions {
    readonly target: string;
    readonly forward: LinkDirection;
    readonly backward: LinkDirection;
    readonly port?: number;
}

interface ProxiedConnection {
    readonly clientSocket: Socket;
    readonly targetSocket: Socket;
    isSilenced: boolean;
    responseBytes: number;
}

const maxQueuedBytes = 1_048_576;
const truncationCloseDelayMillis = 20;

/** Creates a bandwidth limit that links can share. */
export function makeSharedRate(megabitsPerSecond: number): SharedRate {
    return { bytesPerSecond: megabitsPerSecond * 125_000, transmissionEndMillis: 0, bytes: 0 };
}

function computeArrivalMillis(direction: LinkDirection, bytes: number): number {
    const nowMillis = performance.now();
    const { rate } = direction;
    if (rate === undefined) {
        return nowMillis + direction.delayMillis;
    }
    rate.bytes += bytes;
    rate.transmissionEndMillis = Math.max(rate.transmissionEndMillis, nowMillis)
        + (bytes * 1_000) / rate.bytesPerSecond;
    return rate.transmissionEndMillis + direction.delayMillis;
}

interface ScheduledAction {
    readonly dueAtMillis: number;
    readonly run: () => void;
}

/** Creates a scheduler that runs actions when they are due, always in the order in which they were added. */
function makeOrderedScheduler(): (dueAtMillis: number, run: () => void) => void {
    const actions: ScheduledAction[] = [];
    let waiting = false;
    const runDue = () => {
        waiting = false;
        while (actions.length > 0 && actions[0]!.dueAtMillis <= performance.now() + 0.5) {
            actions.shift()!.run();
        }
        if (actions.length > 0 && !waiting) {
            waiting = true;
            setTimeout(runDue, Math.max(0, actions[0]!.dueAtMillis - performance.now()));
        }
    };
    return (dueAtMillis, run) => {
        actions.push({ dueAtMillis, run });
        if (!waiting) {
            runDue();
        }
    };
}

/**
 * Forwards data from one socket to another in order, delayed by the delay and bandwidth of the direction. Reading pauses
 * while more than `maxQueuedBytes` are queued and resumes below half of that.
 */
function forwardWithDelay(
    from: Socket,
    to: Socket,
    direction: LinkDirection,
    admitBytes: (bytes: number) => number
): void {
    const schedule = makeOrderedScheduler();
    let queuedBytes = 0;
    from.on("data", data => {
        const chunk = data.subarray(0, admitBytes(data.length));
        if (chunk.length === 0) {
            return;
        }
        queuedBytes += chunk.length;
        if (queuedBytes > maxQueuedBytes) {
            from.pause();
        }
        schedule(computeArrivalMillis(direction, chunk.length), () => {
            queuedBytes -= chunk.length;
            if (!to.destroyed) {
                to.write(chunk);
            }
            if (from.isPaused() && queuedBytes < maxQueuedBytes / 2) {
                from.resume();
            }
        });
    });
    from.on("end", () => schedule(performance.now() + direction.delayMillis, () => to.end()));
    from.on("close", hadError => {
        schedule(performance.now() + direction.delayMillis, () => hadError ? to.destroy() : to.end());
    });
    from.on("error", () => undefined);
}

/** Opens a link on loopback; connections to the target keep the client's source IP address. */
export async function openLink(options: LinkOptions): Promise<Link> {
    const proxiedConnections = new Set<ProxiedConnection>();
    const portSeparatorIndex = options.target.lastIndexOf(":");
    const host = options.target.slice(0, portSeparatorIndex);
    const targetPort = Number(options.target.slice(portSeparatorIndex + 1));
    const server: Server = createServer({ allowHalfOpen: true, noDelay: true });

    // A connection that has lost data never forwards again, because a gap would corrupt its byte stream.
    const canForward = (connection: ProxiedConnection) => {
        connection.isSilenced ||= link.isPartitioned;
        return !connection.isSilenced;
    };
    let receivedBytes = 0;
    const closeAfterDelay = (connection: ProxiedConnection) =>
        setTimeout(() => {
            connection.clientSocket.destroy();
            connection.targetSocket.destroy();
        }, options.backward.delayMillis + truncationCloseDelayMillis);
    /** Response data up to the limit is forwarded; the connection is closed once the limit is exceeded. */
    const admitResponseBytes = (connection: ProxiedConnection, bytes: number): number => {
        const previousResponseBytes = connection.responseBytes;
        connection.responseBytes += bytes;
        receivedBytes += bytes;
        if (!canForward(connection)) {
            return 0;
        }
        const limit = link.truncateAfterBytes;
        if (limit === undefined || connection.responseBytes <= limit) {
            return bytes;
        }
        connection.isSilenced = true;
        closeAfterDelay(connection);
        return Math.max(0, limit - previousResponseBytes);
    };
    server.on("connection", clientSocket => {
        const targetSocket = connect({
            host,
            port: targetPort,
            localAddress: clientSocket.remoteAddress,
            allowHalfOpen: true,
            noDelay: true
        });
        const connection: ProxiedConnection = {
            clientSocket,
            targetSocket,
            isSilenced: link.isPartitioned,
            responseBytes: 0
        };
        proxiedConnections.add(connection);
        forwardWithDelay(clientSocket, targetSocket, options.forward, bytes => {
            receivedBytes += bytes;
            return canForward(connection) ? bytes : 0;
        });
        forwardWithDelay(targetSocket, clientSocket, options.backward, bytes => admitResponseBytes(connection, bytes));
        const removeIfClosed = () => {
            if (clientSocket.destroyed && targetSocket.destroyed) {
                proxiedConnections.delete(connection);
            }
        };
        clientSocket.on("close", removeIfClosed);
        targetSocket.on("close", removeIfClosed);
        targetSocket.on("error", () => clientSocket.resetAndDestroy());
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
        isPartitioned: false,
        truncateAfterBytes: undefined,
        silence: () => proxiedConnections.forEach(connection => connection.isSilenced = true),
        resetConnections: () =>
            proxiedConnections.forEach(connection => {
                connection.clientSocket.resetAndDestroy();
                connection.targetSocket.resetAndDestroy();
            }),
        connections: () => proxiedConnections.size,
        bytes: () => receivedBytes,
        close: () =>
            new Promise(resolve => {
                proxiedConnections.forEach(connection => {
                    connection.clientSocket.destroy();
                    connection.targetSocket.destroy();
                });
                server.close(() => resolve());
            })
    };
    return link;
}
