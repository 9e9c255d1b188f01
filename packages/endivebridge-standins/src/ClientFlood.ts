import { range } from "@endivebridge/shared";
import { connect, type Socket } from "node:net";

/** What one connection of a flood sends. */
export interface FloodConnection {
    readonly begin: string;
    /** Sent again and again behind `begin`, as fast as the server reads. */
    readonly repeat?: string;
    /** Limit on the bytes sent, after which the connection stays open. */
    readonly maxBytes?: number;
    /** Interval between repetitions; 0 for none. */
    readonly repeatMillis?: number;
}

/** Options of {@link openClientFlood}. */
export interface ClientFloodOptions {
    readonly host: string;
    readonly port: number;
    readonly connections: number;
    readonly connection: (index: number) => FloodConnection;
}

/** Connections of clients that read no answer and close nothing. */
export interface ClientFlood {
    /** Connections that the server has accepted and not closed. */
    readonly openCount: () => number;
    readonly sentBytes: () => number;
    readonly close: () => void;
}

const defaultMaxBytes = 4 * 1_048_576;
const blockBytes = 65_536;

function send(socket: Socket, { begin, repeat, maxBytes = defaultMaxBytes, repeatMillis = 0 }: FloodConnection): void {
    socket.write(begin);
    if (repeat === undefined) {
        return;
    }
    if (repeatMillis > 0) {
        const timer = setInterval(() => socket.write(repeat), repeatMillis);
        socket.once("close", () => clearInterval(timer));
        return;
    }
    const block = Buffer.from(repeat.repeat(Math.ceil(blockBytes / repeat.length)));
    const sendBlocks = () => {
        while (!socket.destroyed && socket.bytesWritten + socket.writableLength < maxBytes && socket.write(block)) {
            // Goes on until the server does not keep up.
        }
    };
    socket.on("drain", sendBlocks);
    sendBlocks();
}

/** Opens the connections of a flood at once. */
export function openClientFlood({ host, port, connections, connection }: ClientFloodOptions): ClientFlood {
    const open = new Set<Socket>();
    let closedBytes = 0;
    const sockets = range(connections).map(index => {
        const socket = connect({ host, port });
        socket.pause();
        socket.once("connect", () => {
            open.add(socket);
            send(socket, connection(index));
        });
        // Paused connections notice the close of the server only when they write.
        socket.on("error", () => socket.destroy());
        socket.once("close", () => {
            open.delete(socket);
            closedBytes += socket.bytesWritten;
        });
        return socket;
    });
    return {
        openCount: () => open.size,
        sentBytes: () => closedBytes + [...open].reduce((sum, socket) => sum + socket.bytesWritten, 0),
        close: () => sockets.forEach(socket => socket.destroy())
    };
}
