import { compareEventTimes, type EventTime } from "@endivebridge/core";

/** An event recorded by an entry instance, with its logical clock time and sequence number there. */
export interface TracedEvent {
    readonly time: EventTime;
    readonly instance: string;
    readonly sequence: number;
    readonly event: Readonly<Record<string, unknown>> & { readonly kind: string; };
}

/** Conditions that events must meet; all given conditions are combined with AND. */
export interface TraceFilter {
    readonly kind?: string;
    readonly instance?: string;
    /** Text that at least one field of the event must contain, such as a request, operation or server id. */
    readonly containing?: string;
}

function hasFieldContaining(event: TracedEvent, text: string): boolean {
    return Object.values(event.event).some(value => String(value).includes(text));
}

/** Returns the events that match a filter, sorted by logical clock so that causes precede their effects. */
export function filterAndSortEvents(events: readonly TracedEvent[], filter: TraceFilter): readonly TracedEvent[] {
    return events
        .filter(each => filter.kind === undefined || each.event.kind === filter.kind)
        .filter(each => filter.instance === undefined || each.instance === filter.instance)
        .filter(each => filter.containing === undefined || hasFieldContaining(each, filter.containing))
        .sort((left, right) =>
            compareEventTimes(left.time, right.time)
            || left.instance.localeCompare(right.instance)
            || left.sequence - right.sequence
        );
}

function formatFields(event: TracedEvent): string {
    return Object.entries(event.event)
        .filter(([name]) => name !== "kind")
        .map(([name, value]) => `${name}=${String(value)}`)
        .join(" ");
}

/** Renders events as text, one per line. */
export function renderText(events: readonly TracedEvent[]): string {
    return events.map(each => {
        const time = new Date(each.time.wallMillis).toISOString();
        return `${time}+${each.time.counter} ${each.instance.padEnd(16)} ${each.event.kind.padEnd(20)} ${
            formatFields(each)
        }`;
    }).join("\n");
}

function escapeHtml(text: string): string {
    return text.replaceAll("&", "&amp;").replaceAll("<", "&lt;").replaceAll(">", "&gt;").replaceAll("\"", "&quot;");
}

/** Renders events as a self-contained HTML page with one column per instance. */
export function renderHtml(events: readonly TracedEvent[]): string {
    const instances = [...new Set(events.map(each => each.instance))].sort();
    const headerCells = instances.map(instance => `<th>${escapeHtml(instance)}</th>`).join("");
    const rows = events.map(each => {
        const time = new Date(each.time.wallMillis).toISOString().slice(11);
        const cells = instances.map(instance =>
            instance === each.instance
                ? `<td class="event"><b>${escapeHtml(each.event.kind)}</b> ${escapeHtml(formatFields(each))}</td>`
                : "<td></td>"
        );
        return `<tr><td class="time">${time}</td>${cells.join("")}</tr>`;
    });
    const style = "body{font:13px sans-serif}table{border-collapse:collapse}th{position:sticky;top:0;background:#fff}"
        + "td,th{border-left:1px solid #ddd;padding:2px 6px;vertical-align:top}.event{background:#eef4ff}.time{color:#777}";
    return `<!doctype html><meta charset="utf-8"><title>endivebridge event timeline</title><style>${style}</style>`
        + `<table><thead><tr><th>time</th>${headerCells}</tr></thead><tbody>${rows.join("")}</tbody></table>\n`;
}
