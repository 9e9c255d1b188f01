import { write } from "node:fs";

/** Writes lines to a file descriptor without blocking when its reader is slow. */
export interface LineWriter {
    readonly write: (line: string) => void;
    /** Returns and resets the number of lines dropped because the reader did not keep up. */
    readonly takeDroppedCount: () => number;
}

/** Buffer limit for a reader that does not keep up; lines beyond it are dropped. */
const maxPendingBytes = 262_144;
/** Lines are batched for this long, so that a burst of lines takes few writes. */
const batchIntervalMillis = 50;
/** Delay before a write to a full pipe is retried. */
const fullPipeRetryMillis = 100;

type WriteBytes = (bytes: Buffer, done: (error: NodeJS.ErrnoException | undefined, written: number) => void) => void;

/** Writes to standard output from the thread pool, so a stalled reader blocks neither requests nor the process exit. */
export function writeToStandardOutput(
    bytes: Buffer,
    done: (error: NodeJS.ErrnoException | undefined, written: number) => void
): void {
    write(1, bytes, (error, written) => done(error ?? undefined, written));
}

/** Creates a writer that has at most one write in flight. */
export function makeLineWriter(writeBytes: WriteBytes): LineWriter {
    let pendingLines: string[] = [];
    let pendingBytes = 0;
    let unsent: Buffer | undefined;
    let isBusy = false;
    let dropped = 0;

    const schedule = (delayMillis: number) => {
        isBusy = true;
        setTimeout(flush, delayMillis).unref();
    };

    const flush = () => {
        if (unsent === undefined) {
            unsent = Buffer.from(pendingLines.join(""));
            pendingLines = [];
            pendingBytes = 0;
        }
        writeBytes(unsent, (error, written) => {
            const remaining = error === undefined ? unsent!.subarray(written) : unsent!;
            // Only a full pipe is retried; a broken pipe has no reader.
            const isFull = error?.code === "EAGAIN";
            unsent = remaining.length > 0 && (error === undefined || isFull) ? remaining : undefined;
            isBusy = false;
            if (unsent !== undefined || pendingLines.length > 0) {
                schedule(isFull ? fullPipeRetryMillis : batchIntervalMillis);
            }
        });
    };

    return {
        write: line => {
            if (pendingBytes + line.length > maxPendingBytes) {
                dropped += 1;
                return;
            }
            pendingLines.push(line);
            pendingBytes += line.length;
            if (!isBusy) {
                schedule(batchIntervalMillis);
            }
        },
        takeDroppedCount: () => {
            const count = dropped;
            dropped = 0;
            return count;
        }
    };
}
