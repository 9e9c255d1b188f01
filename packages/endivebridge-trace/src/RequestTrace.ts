/** One line of an instance's log. */
export interface LoggedEvent {
    readonly timeMillis: number;
    readonly instance: string;
    readonly event: string;
    readonly message: string;
    readonly fields: Readonly<Record<string, unknown>>;
}

/** A line that tells of a request, or of what may have caused its outcome. */
export interface TracedLine {
    readonly logged: LoggedEvent;
    /** Whether the line names the request itself. */
    readonly isOwn: boolean;
}

/** What happened this long before a request's first line may be its cause. */
const causesBeforeMillis = 30_000;
/** A server's entry may be removed this long after it crashed under a request. */
const causesAfterMillis = 5_000;
/** What an instance logs of its own state. */
const instanceEvents = new Set(["start", "stop", "reload", "store", "configuration", "evacuation", "beliefs", "log"]);
/** What an instance logs of one backend server. */
const serverEvents = new Set(["server", "server row", "crash"]);
const headFields = new Set(["name", "instance", "hostname", "pid", "level", "event", "msg", "time", "v"]);

function parseLine(line: string): LoggedEvent | undefined {
    const start = line.indexOf("{");
    if (start < 0) {
        return undefined;
    }
    try {
        const record = JSON.parse(line.slice(start)) as Record<string, unknown>;
        const { event, instance, msg, time } = record;
        const timeMillis = Date.parse(String(time));
        return typeof event === "string" && typeof instance === "string" && Number.isFinite(timeMillis)
            ? {
                timeMillis,
                instance,
                event,
                message: String(msg),
                fields: Object.fromEntries(Object.entries(record).filter(([name]) => !headFields.has(name)))
            }
            : undefined;
    }
    catch {
        // Output of another program, or a line that was cut.
        return undefined;
    }
}

/** Reads the log lines of one or more instances; whatever stands before a line's object is left out, as are other lines. */
export function readLog(text: string): readonly LoggedEvent[] {
    return text.split("\n").flatMap(line => parseLine(line) ?? []);
}

/**
 * The way of a request over all instances: lines that name it, and lines of its instances and backend servers that may be
 * its cause, in the order of their times.
 */
export function traceRequest(events: readonly LoggedEvent[], requestId: string): readonly TracedLine[] {
    const own = events.filter(({ fields }) => fields["requestId"] === requestId);
    if (own.length === 0) {
        return [];
    }
    const times = own.map(({ timeMillis }) => timeMillis);
    const fromMillis = Math.min(...times) - causesBeforeMillis;
    const toMillis = Math.max(...times) + causesAfterMillis;
    const instances = new Set(own.map(({ instance }) => instance));
    const servers = new Set(own.map(({ fields }) => fields["server"]).filter(server => typeof server === "string"));
    const isCause = ({ timeMillis, instance, event, fields }: LoggedEvent): boolean =>
        timeMillis >= fromMillis && timeMillis <= toMillis && instances.has(instance)
        && (instanceEvents.has(event)
            || (serverEvents.has(event) && servers.has(String(fields["id"] ?? fields["server"]))));
    return events
        .map(logged => ({ logged, isOwn: own.includes(logged) }))
        .filter(({ logged, isOwn }) => isOwn || isCause(logged))
        .sort((left, right) => left.logged.timeMillis - right.logged.timeMillis);
}

/** Writes traced lines as text; those of the request itself begin with a star. */
export function renderTrace(lines: readonly TracedLine[]): string {
    return lines.map(({ logged, isOwn }) => {
        const { timeMillis, instance, event, message, fields } = logged;
        const shown = Object.entries(fields)
            .filter(([, value]) => value !== undefined)
            .map(([name, value]) => `${name}=${typeof value === "string" ? value : JSON.stringify(value)}`);
        const time = new Date(timeMillis).toISOString().slice(11, -1);
        return `${isOwn ? "*" : " "} ${time} ${instance} ${event}: ${message} ${shown.join(" ")}`;
    }).join("\n");
}
