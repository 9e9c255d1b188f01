import { monotonicMillis } from "./MonotonicMillis";

/** A connection whose received bytes wait to be parsed. */
export interface WaitingReader {
    /** Whether the connection has sent little since its last answer. */
    readonly isLight: () => boolean;
    /** Parses one piece; returns whether more can be parsed now. */
    readonly parsePiece: () => boolean;
}

/** Divides the time of the event loop among connections that have sent a lot. */
export interface ReadTurns {
    /** Whether bytes can be parsed at once; otherwise their connection waits for its turn. */
    readonly tryParseNow: (bytes: number) => boolean;
    /** Parses the pieces of a connection in turn with those of others. */
    readonly enqueue: (reader: WaitingReader) => void;
    readonly remove: (reader: WaitingReader) => void;
}

/** Time for waiting connections in one iteration of the event loop, which also accepts and reads others. */
const turnMillis = 4;
/** Bytes of light connections that are parsed at once in one interval. */
const immediateBytes = 32_768;
const immediateIntervalMillis = 10;

/** Creates the turns of one process. */
export function makeReadTurns(): ReadTurns {
    const light = new Set<WaitingReader>();
    const heavy = new Set<WaitingReader>();
    let isScheduled = false;
    let intervalStartMillis = -Infinity;
    let intervalBytes = 0;

    const schedule = () => {
        if (!isScheduled) {
            isScheduled = true;
            setImmediate(runTurn);
        }
    };
    const enqueue = (reader: WaitingReader) => {
        (reader.isLight() ? light : heavy).add(reader);
        schedule();
    };
    const parseNext = (readers: Set<WaitingReader>) => {
        for (const reader of readers) {
            readers.delete(reader);
            if (reader.parsePiece()) {
                enqueue(reader);
            }
            return;
        }
    };
    const runTurn = () => {
        isScheduled = false;
        const endMillis = monotonicMillis() + turnMillis;
        // Light readers go first, but a turn always parses a piece of a heavy one.
        parseNext(heavy);
        while (light.size + heavy.size > 0 && monotonicMillis() < endMillis) {
            parseNext(light.size > 0 ? light : heavy);
        }
        if (light.size + heavy.size > 0) {
            schedule();
        }
    };
    return {
        tryParseNow: bytes => {
            const nowMillis = monotonicMillis();
            if (nowMillis - intervalStartMillis > immediateIntervalMillis) {
                intervalStartMillis = nowMillis;
                intervalBytes = 0;
            }
            intervalBytes += bytes;
            return intervalBytes <= immediateBytes;
        },
        enqueue,
        remove: reader => {
            light.delete(reader);
            heavy.delete(reader);
        }
    };
}
