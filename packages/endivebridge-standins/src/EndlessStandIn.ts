import { createServer, type Socket } from "node:net";
import { getListeningPort, listen } from "./PlatformStandIn";

/** Response that starts with `begin` and goes on with repetitions of `repeat` until the connection closes. */
export interface EndlessResponse {
    readonly begin: string;
    readonly repeat: string;
}

/** A connection on which an endless response is being sent. */
export interface EndlessConnection {
    readonly sentBytes: () => number;
    readonly isClosed: () => boolean;
}

/** A stand-in backend server that can send endless responses. */
export interface EndlessStandIn {
    readonly port: number;
    readonly requestIds: readonly string[];
    readonly endlessConnections: readonly EndlessConnection[];
    readonly close: () => Promise<void>;
}

/** Options of {@link startEndlessStandIn}. */
export interface EndlessOptions {
    /** Request header that identifies a request. */
    readonly requestIdHeader: string;
    /** Returns a complete response as text, or an endless one. */
    readonly respond: (requestId: string, head: string) => string | EndlessResponse;
}

/** Limit on the bytes of one endless response, after which the connection stays open without further bytes. */
export const maxEndlessBytes = 256 * 1_048_576;

const blockBytes = 65_536;

function sendEndless(socket: Socket, { begin, repeat }: EndlessResponse): EndlessConnection {
    const block = Buffer.from(repeat.repeat(Math.ceil(blockBytes / repeat.length)));
    const sendBlocks = () => {
        let hasRoom = true;
        while (hasRoom && !socket.destroyed && socket.bytesWritten < maxEndlessBytes) {
            hasRoom = socket.write(block);
        }
    };
    socket.on("drain", () => setImmediate(sendBlocks));
    socket.write(begin);
    sendBlocks();
    return { sentBytes: () => socket.bytesWritten, isClosed: () => socket.destroyed };
}

/** Starts a server on a free loopback port that answers requests without a body, one at a time on a connection. */
export async function startEndlessStandIn(options: EndlessOptions): Promise<EndlessStandIn> {
    const requestIds: string[] = [];
    const endlessConnections: EndlessConnection[] = [];
    const sockets = new Set<Socket>();
    const idPattern = new RegExp(`^${options.requestIdHeader}: *(.*)$`, "im");
    const server = createServer(socket => {
        let received = "";
        sockets.add(socket);
        socket.on("close", () => sockets.delete(socket));
        socket.on("error", () => socket.destroy());
        socket.on("data", chunk => {
            received += chunk.toString("latin1");
            for (let end = received.indexOf("\r\n\r\n"); end >= 0; end = received.indexOf("\r\n\r\n")) {
                const head = received.slice(0, end);
                received = received.slice(end + 4);
                const requestId = idPattern.exec(head)?.[1] ?? "";
                const response = options.respond(requestId, head);
                if (requestId !== "") {
                    requestIds.push(requestId);
                }
                if (typeof response === "string") {
                    socket.write(response);
                }
                else {
                    endlessConnections.push(sendEndless(socket, response));
                }
            }
        });
    });
    await listen(server, 0);
    return {
        port: getListeningPort(server),
        requestIds,
        endlessConnections,
        close: () =>
            new Promise(resolve => {
                sockets.forEach(socket => socket.destroy());
                server.close(() => resolve());
            })
    };
}

/** Returns responses that never become an answer. `head` is a status line with headers that identify the answer. */
export function endlessNonAnswers(head: string): Readonly<Record<string, EndlessResponse>> {
    const chunked = `${head}Transfer-Encoding: chunked\r\n\r\n`;
    return {
        "bytes that are not HTTP": { begin: "", repeat: "\u0000\u0001noise" },
        "line breaks before a status line": { begin: "", repeat: "\r\n" },
        "informational responses": { begin: "", repeat: "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" },
        "a switch of protocols": { begin: "HTTP/1.1 101 A\r\nUpgrade: a\r\nConnection: upgrade\r\n\r\n", repeat: "x" },
        "a status line": { begin: "HTTP/1.1 200 ", repeat: "x" },
        "a header section": { begin: head, repeat: "X-A: b\r\n" },
        "whitespace in a header": { begin: `${head}X-A:`, repeat: " " },
        "a chunk extension": { begin: `${chunked}5;`, repeat: "x" },
        "a trailer section": { begin: `${chunked}1\r\nx\r\n0\r\n`, repeat: "X-A: b\r\n" },
        "whitespace in a trailer": { begin: `${chunked}1\r\nx\r\n0\r\nX-A:`, repeat: " " }
    };
}

/** Returns valid answers with a length or chunks whose body never ends. */
export function endlessBodies(head: string): Readonly<Record<string, EndlessResponse>> {
    return {
        "a chunked body": { begin: `${head}Transfer-Encoding: chunked\r\n\r\n`, repeat: "8\r\nabcdefgh\r\n" },
        "a body of a huge declared length": { begin: `${head}Content-Length: 1000000000000\r\n\r\n`, repeat: "x" }
    };
}

/** Returns bytes that follow the complete answer `answer` without end. */
export function endlessBytesAfter(answer: string): Readonly<Record<string, EndlessResponse>> {
    return {
        "bytes that are not HTTP": { begin: answer, repeat: "\u0000\u0001noise" },
        "line breaks": { begin: answer, repeat: "\r\n" },
        "further answers": { begin: answer, repeat: answer }
    };
}
