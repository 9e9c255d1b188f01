import bunyan from "bunyan";

/** Structured log that writes one JSON object per line to standard error. */
export type Log = bunyan;

/** Creates the log of one process; every line names the program and the instance. */
export function makeLog(program: string, instance: string, level: bunyan.LogLevelString): Log {
    return bunyan.createLogger({ name: program, instance, level, stream: process.stderr });
}
