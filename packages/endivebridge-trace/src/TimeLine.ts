import { compareEventTimes, type EventTime } from "@endivebridge/core";

/** One event as entry instances record it. */
export interface TracedEvent {
    readonly time: EventTime;
    readonly instance: string;
    readonly sequence: number;
    readonly event: Readonly<Record<string, unknown>> & { readonly kind: string; };
}

/** Which events to show; every given condition must hold. */
export interface TraceFilter {
    readonly kind?: string;
    readonly instance?: string;
    /** Text that some field of the event must hold: a request, an operation, a server. */
    readonly about?: string;
}

function mentions(event: TracedEvent, text: string): boolean {
    return Object.values(event.event).some(value => String(value).includes(text));
}

/** Events that pass a filter, causes before effects. */
export function orderEvents(events: readonly TracedEvent[], filter: TraceFilter): readonly TracedEvent[] {
    return events
        .filter(each => filter.kind === undefined || each.event.kind === filter.kind)
        .filter(each => filter.instance === undefined || each.instance === filter.instance)
        .filter(each => filter.about === undefined || mentions(each, filter.about))
        .sort((left, right) =>
            compareEventTimes(left.time, right.time)
            || left.instance.localeCompare(right.instance)
            || left.sequence - right.sequence
        );
}

function describeFields(event: TracedEvent): string {
    return Object.entries(event.event)
        .filter(([name]) => name !== "kind")
        .map(([name, value]) => `${name}=${String(value)}`)
        .join(" ");
}

/** Writes events as text, one a line. */
export function renderText(events: readonly TracedEvent[]): string {
    return events.map(each => {
        const time = new Date(each.time.wallMillis).toISOString();
        return `${time}+${each.time.counter} ${each.instance.padEnd(16)} ${each.event.kind.padEnd(20)} ${
            describeFields(each)
        }`;
    }).join("\n");
}

function escapeHtml(text: string): string {
    return text.replaceAll("&", "&amp;").replaceAll("<", "&lt;").replaceAll(">", "&gt;").replaceAll("\"", "&quot;");
}

/** Writes events as one self-contained page, a column for each instance. */
export function renderHtml(events: readonly TracedEvent[]): string {
    const instances = [...new Set(events.map(each => each.instance))].sort();
    const head = instances.map(instance => `<th>${escapeHtml(instance)}</th>`).join("");
    const rows = events.map(each => {
        const time = new Date(each.time.wallMillis).toISOString().slice(11);
        const cells = instances.map(instance =>
            instance === each.instance
                ? `<td class="event"><b>${escapeHtml(each.event.kind)}</b> ${escapeHtml(describeFields(each))}</td>`
                : "<td></td>"
        );
        return `<tr><td class="time">${time}</td>${cells.join("")}</tr>`;
    });
    const style = "body{font:13px sans-serif}table{border-collapse:collapse}th{position:sticky;top:0;background:#fff}"
        + "td,th{border-left:1px solid #ddd;padding:2px 6px;vertical-align:top}.event{background:#eef4ff}.time{color:#777}";
    return `<!doctype html><meta charset="utf-8"><title>endivebridge time line</title><style>${style}</style>`
        + `<table><thead><tr><th>time</th>${head}</tr></thead><tbody>${rows.join("")}</tbody></table>\n`;
}
