/** One parsed log line of an entry instance. */
export interface LoggedEvent {
    readonly timeMillis: number;
    readonly instance: string;
    readonly event: string;
    readonly message: string;
    readonly fields: Readonly<Record<string, unknown>>;
}

/** A log event that names the traced request or may explain its outcome. */
export interface TraceLine {
    readonly logged: LoggedEvent;
    /** Whether the event names the request itself, rather than being a possible cause. */
    readonly isRequestEvent: boolean;
}

/** Events up to this long before the first event of a request are shown as possible causes. */
const causeWindowBeforeMillis = 30_000;
/** The entry of a server that crashed while it ran a request may be removed up to this long afterwards. */
const causeWindowAfterMillis = 5_000;
/** Events that an instance logs about its own state. */
const instanceEvents = new Set(["start", "stop", "reload", "store", "configuration", "evacuation", "beliefs", "log"]);
/** Events that an instance logs about one backend server. */
const serverEvents = new Set(["server", "server row", "crash"]);
/** Fields that every log line has; all others are event-specific. */
const envelopeFields = new Set(["name", "instance", "hostname", "pid", "level", "event", "msg", "time", "v"]);

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
                fields: Object.fromEntries(Object.entries(record).filter(([name]) => !envelopeFields.has(name)))
            }
            : undefined;
    }
    catch {
        // Output of another program, or a truncated line.
        return undefined;
    }
}

/** Parses the log lines of one or more instances; text before the JSON object of a line and all other lines are skipped. */
export function parseLog(text: string): readonly LoggedEvent[] {
    return text.split("\n").flatMap(line => parseLine(line) ?? []);
}

/**
 * Traces a request across all instances: returns the events that name it, and those events of its instances and backend
 * servers that may explain its outcome, sorted by time.
 */
export function traceRequest(events: readonly LoggedEvent[], requestId: string): readonly TraceLine[] {
    const requestEvents = events.filter(({ fields }) => fields["requestId"] === requestId);
    if (requestEvents.length === 0) {
        return [];
    }
    const times = requestEvents.map(({ timeMillis }) => timeMillis);
    const fromMillis = Math.min(...times) - causeWindowBeforeMillis;
    const toMillis = Math.max(...times) + causeWindowAfterMillis;
    const instances = new Set(requestEvents.map(({ instance }) => instance));
    const servers = new Set(
        requestEvents.map(({ fields }) => fields["server"]).filter(server => typeof server === "string")
    );
    const isPossibleCause = ({ timeMillis, instance, event, fields }: LoggedEvent): boolean =>
        timeMillis >= fromMillis && timeMillis <= toMillis && instances.has(instance)
        && (instanceEvents.has(event)
            || (serverEvents.has(event) && servers.has(String(fields["id"] ?? fields["server"]))));
    return events
        .map(logged => ({ logged, isRequestEvent: requestEvents.includes(logged) }))
        .filter(({ logged, isRequestEvent }) => isRequestEvent || isPossibleCause(logged))
        .sort((left, right) => left.logged.timeMillis - right.logged.timeMillis);
}

/** Renders a trace as text, one event per line; events of the request itself are marked with an asterisk. */
export function renderTrace(lines: readonly TraceLine[]): string {
    return lines.map(({ logged, isRequestEvent }) => {
        const { timeMillis, instance, event, message, fields } = logged;
        const formattedFields = Object.entries(fields)
            .filter(([, value]) => value !== undefined)
            .map(([name, value]) => `${name}=${typeof value === "string" ? value : JSON.stringify(value)}`);
        const time = new Date(timeMillis).toISOString().slice(11, -1);
        return `${isRequestEvent ? "*" : " "} ${time} ${instance} ${event}: ${message} ${formattedFields.join(" ")}`;
    }).join("\n");
}
