import bunyan from "bunyan";

/** Structured log, one JSON object a line on standard error. */
export type Log = bunyan;

/** Makes the log of one process. */
export function makeLog(program: string, instance: string, level: bunyan.LogLevelString): Log {
    return bunyan.createLogger({ name: program, instance, level, stream: process.stderr });
}
