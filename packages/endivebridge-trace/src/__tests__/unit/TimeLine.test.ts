import test from "ava";
import { orderEvents, renderHtml, renderText, type TracedEvent } from "../../index";

function event(instance: string, wallMillis: number, counter: number, kind: string, peer: string): TracedEvent {
    return { instance, sequence: wallMillis, time: { wallMillis, counter }, event: { kind, peer } };
}

const events = [
    event("b", 1_000, 1, "peerSilent", "a"),
    event("a", 1_000, 0, "peerHeard", "b"),
    event("c", 999, 0, "peerHeard", "<b>"),
    event("a", 1_001, 0, "shuttingDown", "")
];

test("events are ordered by their logical clocks", t => {
    t.snapshot(renderText(orderEvents(events, {})));
});

test("filters hold together", t => {
    t.deepEqual(orderEvents(events, { kind: "peerHeard", about: "b", instance: "a" }), [events[1]!]);
});

test("the page escapes what processes wrote", t => {
    t.false(renderHtml(events).includes("<b>b"));
    t.snapshot(renderHtml(orderEvents(events, { kind: "peerHeard" })));
});
