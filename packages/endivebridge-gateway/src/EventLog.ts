import { monotonicMillis } from "@endivebridge/shared";
import bunyan from "bunyan";
import type { LineWriter } from "./LineWriter";

/** Fields of one log line. */
export type LogFields = Readonly<Record<string, unknown>>;

/** Structured log with a rate limit for each kind of event. */
export interface EventLog {
    /** Logs infrequent events: start, stop, configuration, members, dependencies. */
    readonly info: (kind: string, fields: LogFields, message: string) => void;
    readonly warn: (kind: string, fields: LogFields, message: string) => void;
    readonly error: (kind: string, fields: LogFields, message: string) => void;
    /** Logs the number of lines omitted per kind since the last call. */
    readonly reportOmitted: () => void;
}

/** Token bucket rate of each kind, in lines a second; the burst is twice as large. */
export const linesPerSecondByKind = 40;

/** Creates the log of one process, which writes JSON lines to the given writer. */
export function makeEventLog(program: string, instance: string, writer: LineWriter): EventLog {
    const logger = bunyan.createLogger({
        name: program,
        instance,
        streams: [{ type: "raw", stream: { write: (record: object) => writer.write(`${JSON.stringify(record)}\n`) } }]
    });
    const kinds = new Map<string, { tokens: number; atMillis: number; omitted: number; }>();

    const tryTakeToken = (kind: string): boolean => {
        const nowMillis = monotonicMillis();
        let state = kinds.get(kind);
        if (state === undefined) {
            state = { tokens: 2 * linesPerSecondByKind, atMillis: nowMillis, omitted: 0 };
            kinds.set(kind, state);
        }
        const refilledTokens = (nowMillis - state.atMillis) / 1_000 * linesPerSecondByKind;
        state.tokens = Math.min(2 * linesPerSecondByKind, state.tokens + refilledTokens);
        state.atMillis = nowMillis;
        if (state.tokens < 1) {
            state.omitted += 1;
            return false;
        }
        state.tokens -= 1;
        return true;
    };

    const log = (level: "info" | "warn" | "error") => (kind: string, fields: LogFields, message: string) => {
        if (tryTakeToken(kind)) {
            logger[level]({ event: kind, ...fields }, message);
        }
    };

    return {
        info: log("info"),
        warn: log("warn"),
        error: log("error"),
        reportOmitted: () => {
            const omitted: Record<string, number> = {};
            for (const [kind, state] of kinds) {
                if (state.omitted > 0) {
                    omitted[kind] = state.omitted;
                    state.omitted = 0;
                }
            }
            const dropped = writer.takeDroppedCount();
            if (dropped > 0 || Object.keys(omitted).length > 0) {
                logger.warn({ event: "log", omitted, dropped }, "log lines omitted");
            }
        }
    };
}
