import type { IncomingMessage } from "node:http";
import { Readable } from "node:stream";
import { makeByteCollector } from "./ByteCollector";

/** Reading from the connection pauses while more bytes than this wait to be read. */
const maxWaitingBytes = 16_384;

/**
 * Rest of a message's body, read in large pieces. A message that is paused at once keeps each small chunk that has already
 * been read from its connection as an object of its own.
 */
export class MessageBody extends Readable {
    readonly #message: IncomingMessage;
    readonly #waiting = makeByteCollector();
    #isWanted = false;
    #isPauseScheduled = false;

    constructor(message: IncomingMessage) {
        super({ highWaterMark: maxWaitingBytes });
        this.#message = message;
        message.on("data", (chunk: Buffer) => {
            this.#waiting.append(chunk);
            this.#pushIfWanted();
            if (this.#waiting.length() >= maxWaitingBytes && !this.#isPauseScheduled) {
                this.#isPauseScheduled = true;
                process.nextTick(() => this.#pauseAfterChunks());
            }
        });
        message.once("end", () => {
            this.#isWanted = true;
            this.#pushIfWanted();
            this.push(null); // eslint-disable-line no-restricted-syntax
        });
        message.once("close", () => {
            if (!message.complete) {
                this.destroy();
            }
        });
    }

    /** Whether the whole message has been received. */
    get isComplete(): boolean {
        return this.#message.complete;
    }

    override _read(): void {
        this.#isWanted = true;
        this.#pushIfWanted();
        this.#message.resume();
        this.#message.socket.resume();
    }

    override _destroy(error: Error | null, callback: (error?: Error | null) => void): void {
        this.#message.destroy();
        callback(error);
    }

    #pushIfWanted(): void {
        if (this.#isWanted && this.#waiting.length() > 0) {
            this.#isWanted = false;
            this.push(this.#waiting.take());
        }
    }

    /** Pauses once all chunks of the last read have been received; what is read next waits as bytes in the socket. */
    #pauseAfterChunks(): void {
        this.#isPauseScheduled = false;
        if (this.#waiting.length() >= maxWaitingBytes && !this.#message.complete) {
            this.#message.pause();
            this.#message.socket.pause();
        }
    }
}
