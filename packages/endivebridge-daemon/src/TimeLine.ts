import { type EventClock, type EventTime, makeEventClock } from "@endivebridge/core";

/** Event of the time line; the fields depend on the kind. */
export type TimeLineEvent =
    | { readonly kind: "started"; readonly incarnation: string; }
    | { readonly kind: "shuttingDown"; }
    | { readonly kind: "configurationInForce"; readonly version: number; readonly from: string; }
    | {
        readonly kind: "slotsChanged";
        readonly service: string;
        readonly usableSlots: number;
        readonly rowVersion: number;
    }
    | { readonly kind: "leaseHeld"; }
    | { readonly kind: "leaseLapsed"; }
    | { readonly kind: "peerHeard"; readonly peer: string; readonly incarnation: string; }
    | { readonly kind: "peerSilent"; readonly peer: string; }
    | { readonly kind: "siblingSuspected"; readonly sibling: string; }
    | { readonly kind: "siblingExpelled"; readonly sibling: string; }
    | { readonly kind: "serverSetAside"; readonly server: string; }
    | { readonly kind: "serverLetBack"; readonly server: string; }
    | { readonly kind: "serverDied"; readonly server: string; readonly request: string; }
    | {
        readonly kind: "requestInDoubt";
        readonly request: string;
        readonly error: string;
        readonly operation: string;
    };

/** An event with its hybrid logical time, the instance that recorded it and its sequence number there. */
export interface RecordedEvent {
    readonly time: EventTime;
    readonly instance: string;
    readonly sequence: number;
    readonly event: TimeLineEvent;
}

/** Bounded buffer of the latest events of this process. */
export interface TimeLine {
    readonly clock: EventClock;
    readonly emit: (event: TimeLineEvent) => void;
    /** Returns the events after a sequence number; a gap before the first one means that older events were dropped. */
    readonly after: (sequence: number) => readonly RecordedEvent[];
}

const maxEvents = 5_000;

/** Creates an empty time line whose clock starts from the wall clock. */
export function makeTimeLine(instance: string): TimeLine {
    const clock = makeEventClock(Date.now);
    let events: RecordedEvent[] = [];
    let sequence = 0;
    return {
        clock,
        emit: event => {
            sequence += 1;
            events.push({ time: clock.now(), instance, sequence, event });
            if (events.length > maxEvents * 2) {
                events = events.slice(-maxEvents);
            }
        },
        after: from => events.slice(-maxEvents).filter(recorded => recorded.sequence > from)
    };
}
