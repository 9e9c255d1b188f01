// Guards the order of events from several instances, whose wall clocks may be equal, the filters, and the escaping of event
// fields in the HTML page.
import test from "ava";
import { filterAndSortEvents, renderHtml, renderText, type TracedEvent } from "../../index";

function event(instance: string, wallMillis: number, counter: number, kind: string, peer: string): TracedEvent {
    return { instance, sequence: wallMillis, time: { wallMillis, counter }, event: { kind, peer } };
}

const events = [
    event("b", 1_000, 1, "peerSilent", "a"),
    event("a", 1_000, 0, "peerHeard", "b"),
    event("c", 999, 0, "peerHeard", "<b>"),
    event("a", 1_001, 0, "shuttingDown", "")
];

test("sorts events by logical clock", t => {
    t.snapshot(renderText(filterAndSortEvents(events, {})));
});

test("returns only events that match all filter conditions", t => {
    t.deepEqual(filterAndSortEvents(events, { kind: "peerHeard", containing: "b", instance: "a" }), [events[1]!]);
});

test("escapes event fields in the HTML page", t => {
    t.false(renderHtml(events).includes("<b>b"));
    t.snapshot(renderHtml(filterAndSortEvents(events, { kind: "peerHeard" })));
});
