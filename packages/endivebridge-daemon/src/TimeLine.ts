import { type EventClock, type EventTime, makeEventClock } from "@endivebridge/core";

/** What the time line tells of; each kind has its own fields. */
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

/** An event with its place in the time line. */
export interface RecordedEvent {
    readonly time: EventTime;
    readonly instance: string;
    readonly sequence: number;
    readonly event: TimeLineEvent;
}

/** The latest events of this process, in a bounded ring. */
export interface TimeLine {
    readonly clock: EventClock;
    readonly emit: (event: TimeLineEvent) => void;
    /** Events after a sequence number; the first one's number shows whether some were lost. */
    readonly after: (sequence: number) => readonly RecordedEvent[];
}

const maxEvents = 5_000;

/** Makes an empty time line. */
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
        after: from => events.slice(-maxEvents).filter(each => each.sequence > from)
    };
}
