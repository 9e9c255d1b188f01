import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import type { HeldMemory, MemoryClaim } from "./HeldMemory";
import type { ReadTurns, WaitingReader } from "./ReadTurns";

/** Control of what an HTTP server's parser gets of one connection. */
export interface ConnectionReader {
    /** Records a parsed request, which has no answer yet. */
    readonly recordRequest: (message: IncomingMessage) => void;
    /** Records that an answer is written. */
    readonly recordAnswer: () => void;
    readonly hasRequest: () => boolean;
    /** Whether a request without an answer has been received completely. */
    readonly hasCompleteRequest: () => boolean;
    /** Discards what was received and what follows. */
    readonly discard: () => void;
}

/** Dependencies of the reader of one connection. */
export interface ConnectionReaderParts {
    readonly turns: ReadTurns;
    readonly memory: HeldMemory;
    /** Requests without an answer, beyond which the connection is not parsed further. */
    readonly maxUnansweredRequests: number;
    /** Called when the memory for received bytes is needed for others. */
    readonly onShed: () => void;
}

/** A piece ends after a blank line, so that it holds one request at most, unless its lines end otherwise. */
const pieceEnd = Buffer.from("\r\n\r\n");
const maxPieceBytes = 4_096;
/** Bytes since the last answer up to which a connection counts as light. */
const lightBytes = 8_192;
/** The socket is not read while more bytes than this wait for the parser; until then a close is noticed. */
const maxWaitingBytes = 16_384;

/** The rest of a body is discarded so that its client reads the answer; beyond this, the client has to wait. */
const maxDiscardedBytes = 1_048_576;

/**
 * Passes the bytes of a connection to the server's parser in pieces. The parser itself takes in all requests and chunks of
 * what it is given at once, whether or not their answers are read.
 */
export function makeConnectionReader(socket: Socket, parts: ConnectionReaderParts): ConnectionReader {
    const { turns, memory, maxUnansweredRequests } = parts;
    const push = socket.push.bind(socket);
    const readSocket = socket._read.bind(socket);
    let waiting: Buffer[] = [];
    let waitingBytes = 0;
    /** Bytes that may still be discarded; undefined while bytes are parsed. */
    let discardableBytes: number | undefined;
    let unansweredCount = 0;
    let lastMessage: IncomingMessage | undefined;
    let bytesSinceAnswer = 0;
    let claim: MemoryClaim | undefined;

    // A listener for data makes the server read the socket as a stream, and not natively past `push`.
    const readAsStream = () => undefined;
    socket.on("data", readAsStream);
    socket.off("data", readAsStream);

    const setWaitingBytes = (bytes: number) => {
        waitingBytes = bytes;
        if (bytes === 0) {
            claim?.release();
            claim = undefined;
        }
        else if (claim === undefined) {
            claim = memory.claim(bytes, parts.onShed);
        }
        else {
            claim.resize(bytes);
        }
    };
    const dropWaiting = () => {
        waiting = [];
        setWaitingBytes(0);
        turns.remove(reader);
    };
    const isReadingBody = () => lastMessage?.complete === false;
    /** Further requests of a connection wait for its answers, and while memory is short for all of them. */
    const mayParse = () =>
        socket.readableFlowing === true && socket.readableLength === 0
        && (unansweredCount === 0 || isReadingBody()
            || (unansweredCount < maxUnansweredRequests && !memory.isShort()));
    const pieceLength = (chunk: Buffer): number => {
        const lineEnd = chunk.indexOf(pieceEnd);
        return Math.min(chunk.length, maxPieceBytes, lineEnd < 0 ? chunk.length : lineEnd + pieceEnd.length);
    };
    const takePiece = (): Buffer => {
        const chunk = waiting[0]!;
        const length = pieceLength(chunk);
        if (length === chunk.length) {
            waiting.shift();
        }
        else {
            waiting[0] = chunk.subarray(length);
        }
        setWaitingBytes(waitingBytes - length);
        return chunk.subarray(0, length);
    };
    const parse = (piece: Buffer): boolean => {
        bytesSinceAnswer += piece.length;
        return push(piece);
    };
    const parsePiece = (): boolean => {
        if (waitingBytes === 0 || !mayParse()) {
            return false;
        }
        parse(takePiece());
        if (socket.destroyed) {
            dropWaiting();
            return false;
        }
        if (waitingBytes <= maxWaitingBytes) {
            readSocket(0);
        }
        return waitingBytes > 0 && mayParse();
    };
    const reader: WaitingReader = { isLight: () => bytesSinceAnswer <= lightBytes, parsePiece };
    const resumeParsing = () => {
        if (waitingBytes > 0 && mayParse()) {
            turns.enqueue(reader);
        }
    };

    // The server has its listeners on the socket already, so that the socket's own stream methods are replaced.
    socket._read = size => {
        if (waitingBytes > 0) {
            resumeParsing();
        }
        else {
            readSocket(size);
        }
    };
    socket.push = (chunk: Buffer | null) => {
        if (chunk === null) { // eslint-disable-line no-restricted-syntax
            // The server answers nothing after the end of what a caller sends.
            dropWaiting();
            return push(chunk);
        }
        if (discardableBytes !== undefined) {
            discardableBytes -= chunk.length;
            return discardableBytes > 0;
        }
        const isImmediate = waitingBytes === 0 && chunk.length <= maxPieceBytes && reader.isLight()
            && mayParse() && turns.tryParseNow(chunk.length);
        if (isImmediate && pieceLength(chunk) === chunk.length) {
            return parse(chunk);
        }
        waiting.push(chunk);
        setWaitingBytes(waitingBytes + chunk.length);
        while (isImmediate && parsePiece()) {
            // Parses all requests of a light connection that may be parsed now.
        }
        resumeParsing();
        return waitingBytes <= maxWaitingBytes;
    };
    socket.on("resume", resumeParsing);
    socket.once("close", dropWaiting);
    return {
        recordRequest: message => {
            unansweredCount += 1;
            lastMessage = message;
        },
        recordAnswer: () => {
            unansweredCount -= 1;
            bytesSinceAnswer = 0;
            if (!isReadingBody()) {
                // A kept connection would keep the last message, and its body with it.
                lastMessage = undefined;
            }
            resumeParsing();
        },
        hasRequest: () => unansweredCount > 0,
        hasCompleteRequest: () => unansweredCount > 1 || (unansweredCount === 1 && !isReadingBody()),
        discard: () => {
            discardableBytes ??= maxDiscardedBytes;
            dropWaiting();
            if (!socket.destroyed) {
                readSocket(0);
            }
        }
    };
}
